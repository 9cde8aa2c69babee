-- An operator loses the answer to a change and sends it again: to the same instance, to another
-- one, after an election and after a restart of everything. Each time it is the first verdict; a
-- different text under the same id is refused.
cluster{}
local text = catalogue{mark = 1}
change(1, "a", 0, text)
run(2000)
change(2, "b", 1, catalogue{mark = 2})
run(2000)
local function again(at)
  local t = change(at, "a", 0, text)
  run(4000)
  local status, revision = result(t)
  assert(status == "success" and revision == 1, "resent to " .. at .. ": " .. tostring(status))
end
again(1)
again(4)
local old = leader()
kill(old)
run(4000)
again(5)
for i = 1, 6 do kill(i) end
for i = 1, 6 do assert(restart(i)) end
run(4000)
again(6)
local t = change(3, "a", 0, catalogue{mark = 9})
run(2000)
assert(result(t):find("conflict"), "another text under the same id passed")
for i = 1, 6 do assert(revision(i) == 2) end
