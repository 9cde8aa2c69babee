-- A request waits at the scheduler when the voter in charge dies. The new one has heard only some
-- instances at first; the scheduler must not take the others for dead and forget what they asked:
-- when the place is free the waiting request is granted at once.
cluster{seed = 2}
change(1, "a", 0, catalogue{window = 1})
run(3000)
server("p1", "e1", "live")
local h, old = holder("p1"), leader()
assert(h ~= old, "choose another seed")
local running, waiting = nil, {}
for i = 1, 6 do
  if i ~= old and i ~= h then
    if not running then running = ask(i, {class = "t2", first_ms = 60000}) end
    waiting[#waiting + 1] = ask(i, {class = "t3", first_ms = 60000})
  end
end
run(100)
assert(state(running) == "granted")
kill(old)
for i = 1, 30 do progress(running, i * 8); run(200) end
assert(holder("p1") == h, "the lease moved; nothing is shown")
for _ = 1, #waiting do
  local now
  for _, r in ipairs(waiting) do if state(r) == "granted" then now = r end end
  done(now or running, "whole")
  run(100)
  progress(now or running, 1)
end
run(200)
local granted = 0
for _, r in ipairs(waiting) do
  local _, _, n = state(r)
  granted = granted + n
end
assert(granted == #waiting, granted .. " of " .. #waiting .. " waiting requests were granted")
