-- A voter and an entry are down during 800 changes. After a restart they must have the newest
-- catalogue within seconds, from a snapshot or a single document and not by a replay of all
-- changes.
cluster{}
change(5, "c0", 0, catalogue{mark = 1})
run(2000)
local voter = leader() % 3 + 1
kill(voter); kill(6)
for i = 1, 800 do
  change(5, "c" .. i, i, catalogue{mark = i % 7})
  run(250)
end
run(1000)
assert(revision(5) == 801, "only revision " .. revision(5))
assert(restart(voter)); assert(restart(6))
run(3000)
assert(revision(voter) == 801 and revision(6) == 801)
assert(fresh(voter) and fresh(6))
