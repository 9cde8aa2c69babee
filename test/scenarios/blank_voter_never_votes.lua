-- Two of three voters are down, and the third restarts with an empty disk. It must not elect
-- itself or vouch for data that it has lost: no change is accepted until a majority with data is
-- back, and then the old catalogue must still be there.
cluster{}
change(1, "a", 0, catalogue{mark = 1})
run(2000)
kill(1); kill(2); kill(3)
wipe(3)
assert(restart(3))
run(20000)
assert(not member(3) and leader() == 0, "a voter with an empty disk takes part or leads")
assert(not fresh(5), "an instance accepts requests without a majority")
assert(restart(1)); assert(restart(2))
run(8000)
assert(leader() ~= 0 and member(3))
for i = 1, 6 do assert(revision(i) == 1 and fresh(i)) end
