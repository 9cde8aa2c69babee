-- One request crashes each server that runs it, and its caller sends it again to another instance
-- each time, so that no instance sees more than one crash. After the third crash it must reach no
-- server, also after the leader dies and after a restart of all instances, while other requests
-- are served. After an operator releases it, it is sent again.
cluster{}
change(1, "a", 0, catalogue{})
run(3000)
for i = 1, 5 do server("p1", "e" .. i, "live") end
local harmful, harmless = 77, 5

local function submit(instance, content)
  local request = ask(instance, {class = "t1", content = content})
  run(500)
  local result_state, detail = state(request)
  if result_state == "granted" and content == harmful then
    server_ended(request)
    done(request, "failed")
  elseif result_state == "granted" then
    done(request, "whole")
  end
  run(1500)
  return result_state, detail
end

for i = 1, 3 do assert(submit(i, harmful) == "granted") end
for i = 4, 6 do
  local result_state, reason = submit(i, harmful)
  assert(result_state == "refused" and reason == "quarantined",
         i .. ": " .. result_state .. " " .. reason)
end
assert(submit(4, harmless) == "granted")

local old_leader = leader()
kill(old_leader)
run(5000)
assert(restart(old_leader))
run(5000)
for i = 1, 6 do kill(i) end
for i = 1, 6 do assert(restart(i)) end
run(6000)
for i = 1, 5 do server("p1", "e" .. i, "live") end
for i = 1, 6 do
  local result_state, reason = submit(i, harmful)
  assert(result_state == "refused" and reason == "quarantined",
         "after a restart " .. i .. ": " .. result_state .. " " .. reason)
end
assert(submit(4, harmless) == "granted")

local query = find(2, "suspects", "0")
run(1000)
local status, _, text = result(query)
assert(status == "success" and text:find('"quarantined":true,"ends":3'), text)
release(5, harmful)
run(1500)
assert(submit(6, harmful) == "granted")
