-- All instances die at once while syncs are in progress, and restart. Every acknowledged change
-- must be in force on every instance within seconds.
cluster{seed = 7}
for i = 1, 30 do
  change(1, "c" .. i, i - 1, catalogue{mark = i})
  run(300)
end
run(1500)
change(2, "last", 30, catalogue{mark = 31})
run(3)
for i = 1, 6 do kill(i) end
for i = 1, 6 do assert(restart(i)) end
run(5000)
for i = 1, 6 do
  assert(revision(i) >= 30 and revision(i) == revision(1), "instance " .. i)
  assert(fresh(i))
end
