-- The leader dies while requests wait at the scheduler. The new leader has heard from some
-- instances only at first. The scheduler must not take the others for dead and drop their
-- requests: when a slot is free, a waiting request is granted at once.
cluster{seed = 2}
change(1, "a", 0, catalogue{window = 1})
run(3000)
server("p1", "e1", "live")
local scheduler, old = holder("p1"), leader()
assert(scheduler ~= old, "choose another seed")
local running, waiting = nil, {}
for i = 1, 6 do
  if i ~= old and i ~= scheduler then
    if not running then running = ask(i, {class = "t2", first_ms = 60000}) end
    waiting[#waiting + 1] = ask(i, {class = "t3", first_ms = 60000})
  end
end
run(100)
assert(state(running) == "granted")
kill(old)
for i = 1, 30 do progress(running, i * 8); run(200) end
assert(holder("p1") == scheduler, "the lease moved, so the test shows nothing")
for _ = 1, #waiting do
  local now
  for _, request in ipairs(waiting) do if state(request) == "granted" then now = request end end
  done(now or running, "whole")
  run(100)
  progress(now or running, 1)
end
run(200)
local granted = 0
for _, request in ipairs(waiting) do
  local _, _, n = state(request)
  granted = granted + n
end
assert(granted == #waiting, granted .. " of " .. #waiting .. " waiting requests were granted")
