-- A new catalogue removes a pool while streams in it are paused. Its scheduler ends, so that nothing
-- would resume the streams, and their callers would wait for ever. Each entry resumes its own.
cluster{}
change(1, "a", 0, catalogue{pools = 2, window = 2})
run(3000)
server("p2", "e1", "live")
local scheduler = holder("p2")
local other = scheduler % 6 + 1
local low = {ask(scheduler, {pool = "p2", class = "t5"}), ask(other, {pool = "p2", class = "t5"})}
run(50)
for _, request in ipairs(low) do assert(state(request) == "granted") end
local high = {}
for i = 1, 2 do high[i] = ask(other, {pool = "p2", class = "t1", first_ms = 1000}) end
for i = 1, 40 do
  for _, request in ipairs(low) do if state(request) == "granted" then progress(request, 3 * i) end end
  run(50)
end
for i = 1, 2 do
  assert(state(high[i]) == "granted", "the high tier is " .. state(high[i]))
  assert(state(low[i]) == "paused", "the low tier is " .. state(low[i]))
end
change(1, "b", 1, catalogue{pools = 1, window = 2})
run(3000)
for i, name in ipairs{"the scheduler's own", "another entry's"} do
  local s, server_name, grants = state(low[i])
  assert(s == "granted" and server_name == "e1" and grants == 1, name .. " stream is " .. s)
  done(low[i], "whole")
  done(high[i], "whole")
end
