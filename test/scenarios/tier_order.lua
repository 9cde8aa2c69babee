-- All slots are taken by a low tier when a request of a high tier comes. It waits for a slot as
-- long as its first-token deadline permits. Then a low stream is paused for it, not cut, and
-- resumes on the same server when a slot is free.
cluster{}
change(1, "a", 0, catalogue{window = 2})
run(3000)
server("p1", "e1", "live")
local low = {ask(5, {class = "t5"}), ask(5, {class = "t5"})}
run(50)
for _, request in ipairs(low) do assert(state(request) == "granted") end
progress(low[1], 1); progress(low[2], 1)
local high = ask(6, {class = "t1", first_ms = 1000})
run(100)
assert(state(high) == "waiting")
for i = 2, 30 do progress(low[1], 3 * i); progress(low[2], 3 * i); run(50) end
assert(state(high) == "granted", "the high tier is " .. state(high))
local paused = 0
for _, request in ipairs(low) do if state(request) == "paused" then paused = paused + 1 end end
assert(paused == 1, paused .. " streams paused for one request")
done(high, "whole")
run(100)
for _, request in ipairs(low) do
  local s, where, n = state(request)
  assert(s == "granted" and where == "e1" and n == 1, "the paused stream is " .. s)
end
