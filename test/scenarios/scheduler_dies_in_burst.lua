-- A scheduler's instance dies while a burst of requests waits. The entries submit them to the
-- successor, which first learns what is running: no slot may be granted twice, higher tiers go
-- first, and no request is granted twice.
cluster{}
change(1, "a", 0, catalogue{window = 2})
run(3000)
server("p1", "e1", "live")
local scheduler = holder("p1")
local entry = scheduler % 6 + 1
local running = {ask(entry, {class = "t3"}), ask(entry, {class = "t3"})}
run(50)
local low, high = {}, {}
for i = 1, 5 do low[i] = ask(entry, {class = "t4", first_ms = 30000}) end
for i = 1, 5 do high[i] = ask(entry, {class = "t2", first_ms = 30000}) end
run(20)
kill(scheduler)
run(5000)
local new = holder("p1")
assert(new ~= 0 and new ~= scheduler, "no successor")
for _, request in ipairs(high) do
  assert(state(request) == "waiting", "a slot in use was granted again")
end
done(running[1], "whole")
run(100)
local granted = 0
for _, request in ipairs(high) do if state(request) == "granted" then granted = granted + 1 end end
assert(granted == 1, granted .. " granted for one free slot")
for _, request in ipairs(low) do assert(state(request) == "waiting", "a lower tier went first") end
for _, request in ipairs(running) do
  local _, _, n = state(request)
  assert(n == 1, "granted twice")
end
