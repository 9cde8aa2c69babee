-- One request ends each server that begins to run it, and its caller sends it again, to another
-- instance each time. No instance sees more than one end. After the third it reaches no server more,
-- also when the leader dies and when everything starts again; other requests are served all along.
-- Once an operator lets it go it is sent again.
cluster{}
change(1, "a", 0, catalogue{})
run(3000)
for i = 1, 5 do server("p1", "e" .. i, "live") end
local killer, innocent = 77, 5

local function come(instance, content)
  local r = ask(instance, {class = "t1", content = content})
  run(500)
  local s, what = state(r)
  if s == "granted" and content == killer then
    server_ended(r)
    done(r, "failed")
  elseif s == "granted" then
    done(r, "whole")
  end
  run(1500)
  return s, what
end

for i = 1, 3 do assert(come(i, killer) == "granted") end
for i = 4, 6 do
  local s, why = come(i, killer)
  assert(s == "refused" and why == "quarantined", i .. ": " .. s .. " " .. why)
end
assert(come(4, innocent) == "granted")

local first = leader()
kill(first)
run(5000)
assert(restart(first))
run(5000)
for i = 1, 6 do kill(i) end
for i = 1, 6 do assert(restart(i)) end
run(6000)
for i = 1, 5 do server("p1", "e" .. i, "live") end
for i = 1, 6 do
  local s, why = come(i, killer)
  assert(s == "refused" and why == "quarantined", "after a restart " .. i .. ": " .. s .. " " .. why)
end
assert(come(4, innocent) == "granted")

local f = find(2, "suspects", "0")
run(1000)
local status, _, text = result(f)
assert(status == "success" and text:find('"quarantined":true,"ends":3'), text)
release(5, killer)
run(1500)
assert(come(6, killer) == "granted")
