-- A voter loses its disk and is rebuilt from the others; as soon as it is a member again, a second
-- voter is lost for good. No accepted change may be lost, and the two that are left must accept
-- the next change.
cluster{}
for i = 1, 20 do
  change(1, "c" .. i, i - 1, catalogue{mark = i})
  run(500)
end
run(2000)
assert(revision(6) == 20)
kill(3); wipe(3); assert(restart(3))
assert(not member(3), "a voter with an empty disk is a member at once")
for i = 1, 250 do
  run(20)
  assert(not member(3) or revision(3) == 20, "a voter is a member before it has all data")
end
assert(member(3), "the replaced voter never came back")
kill(1); wipe(1)
run(5000)
local ticket = change(5, "after", 20, catalogue{mark = 99})
run(3000)
local status, rev = result(ticket)
assert(status == "success" and rev == 21,
       "two of three voters do not accept a change: " .. tostring(status))
for _, i in ipairs{2, 3, 4, 5, 6} do assert(revision(i) == 21) end
