-- A scheduler is cut off and still considers itself in charge. By its own clock it must stop
-- granting before its successor starts, and what it decided is not accepted any more. When the
-- network is repaired, the successor stays in charge.
cluster{}
change(1, "a", 0, catalogue{})
run(3000)
server("p1", "e1", "live")
local scheduler = holder("p1")
isolate(scheduler)
local successor = 0
for i = 1, 80 do
  run(100)
  local current = holder("p1")
  assert(current <= 6, "two instances hold the lease at the same time")
  if current ~= scheduler and current ~= 0 then successor = current end
end
assert(successor ~= 0, "nobody took over")
local request = ask(scheduler % 6 + 1, {class = "t1"})
run(200)
assert(state(request) == "granted")
local at_isolated = ask(scheduler, {class = "t1"})
run(1000)
assert(state(at_isolated) ~= "granted", "the isolated instance granted")
heal()
run(3000)
assert(holder("p1") == successor)
