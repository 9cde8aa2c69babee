-- An operator loses the answer to a change and sends the change again: to the same instance, to
-- another one, after an election and after a restart of all instances. Each time it must get the
-- first verdict. Another text under the same id is refused.
cluster{}
local text = catalogue{mark = 1}
change(1, "a", 0, text)
run(2000)
change(2, "b", 1, catalogue{mark = 2})
run(2000)
local function resend(instance)
  local ticket = change(instance, "a", 0, text)
  run(4000)
  local status, revision = result(ticket)
  assert(status == "success" and revision == 1,
         "resent to " .. instance .. ": " .. tostring(status))
end
resend(1)
resend(4)
local old_leader = leader()
kill(old_leader)
run(4000)
resend(5)
for i = 1, 6 do kill(i) end
for i = 1, 6 do assert(restart(i)) end
run(4000)
resend(6)
local ticket = change(3, "a", 0, catalogue{mark = 9})
run(2000)
assert(result(ticket):find("conflict"), "another text under the same id was accepted")
for i = 1, 6 do assert(revision(i) == 2) end
