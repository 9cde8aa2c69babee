-- A burst waits at the scheduler when its instance dies. The entries ask its successor, which first
-- learns what runs: no place is given twice, higher tiers go first, each request is granted once.
cluster{}
change(1, "a", 0, catalogue{window = 2})
run(3000)
server("p1", "e1", "live")
local h = holder("p1")
local entry = h % 6 + 1
local running = {ask(entry, {class = "t3"}), ask(entry, {class = "t3"})}
run(50)
local low, high = {}, {}
for i = 1, 5 do low[i] = ask(entry, {class = "t4", first_ms = 30000}) end
for i = 1, 5 do high[i] = ask(entry, {class = "t2", first_ms = 30000}) end
run(20)
kill(h)
run(5000)
local new = holder("p1")
assert(new ~= 0 and new ~= h, "no successor")
for _, r in ipairs(high) do assert(state(r) == "waiting", "a taken place was given again") end
done(running[1], "whole")
run(100)
local granted = 0
for _, r in ipairs(high) do if state(r) == "granted" then granted = granted + 1 end end
assert(granted == 1, granted .. " granted for one free place")
for _, r in ipairs(low) do assert(state(r) == "waiting", "a lower tier went first") end
for _, r in ipairs(running) do
  local _, _, n = state(r)
  assert(n == 1, "granted twice")
end
