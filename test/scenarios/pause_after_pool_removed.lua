-- The scheduler of a pool learns later than an entry that a new catalogue has removed the pool, and
-- pauses a stream of that entry meanwhile. It would never resume it.
cluster{}
change(1, "a", 0, catalogue{pools = 4, window = 1})
run(3000)
local pool, scheduler
for i = 2, 4 do
  if holder("p" .. i) > 3 then pool, scheduler = "p" .. i, holder("p" .. i) end
end
assert(pool, "no pool is scheduled by an instance that is not a voter")
local entry, late = leader(), scheduler % 3 + 4
server(pool, "e1", "live")
local low = ask(entry, {pool = pool, class = "t5"})
run(50)
progress(low, 1)
assert(state(low) == "granted")
for voter = 1, 3 do
  if voter ~= entry then cut(scheduler, voter); cut(late, voter) end
end
cut(late, entry)
change(entry, "b", 1, catalogue{pools = 1, window = 1})
local high
for i = 1, 60 do
  if revision(entry) == 2 and not high then
    assert(revision(scheduler) == 1 and holder(pool) == scheduler, "the scheduler knows already")
    high = ask(late, {pool = pool, class = "t1", first_ms = 300})
  end
  if high then progress(low, 3 * i) end
  run(10)
end
assert(high)
assert(state(high) == "granted", "the high tier is " .. state(high) .. " rev " .. revision(scheduler))
heal()
run(3000)
assert(revision(scheduler) == 2)
assert(state(low) == "granted", "the stream is " .. state(low))
