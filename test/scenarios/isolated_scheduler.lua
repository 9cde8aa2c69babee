-- The scheduler's instance is cut off and believes it is in charge. It stops deciding by its own
-- clock before its successor starts, and what it decided is not accepted any more.
cluster{}
change(1, "a", 0, catalogue{})
run(3000)
server("p1", "e1", "live")
local h = holder("p1")
isolate(h)
local seen = 0
for i = 1, 80 do
  run(100)
  local now = holder("p1")
  assert(now <= 6, "two instances hold the lease at a time")
  if now ~= h and now ~= 0 then seen = now end
end
assert(seen ~= 0, "nobody took over")
local r = ask(h % 6 + 1, {class = "t1"})
run(200)
assert(state(r) == "granted")
local alone = ask(h, {class = "t1"})
run(1000)
assert(state(alone) ~= "granted", "the isolated instance granted")
heal()
run(3000)
assert(holder("p1") == seen)
