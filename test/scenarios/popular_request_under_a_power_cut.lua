-- A failure domain loses power: three servers end at once, all running a request that many callers
-- send. Another instance has answered it whole a moment before, and says so. Nobody is refused.
cluster{}
change(1, "a", 0, catalogue{})
run(3000)
for i = 1, 5 do server("p1", "e" .. i, "live") end
local before = ask(6, {class = "t1", content = 5})
run(100)
done(before, "whole")
local cut = {}
for i = 1, 3 do cut[i] = ask(i, {class = "t1", content = 5}) end
run(100)
for i = 1, 3 do
  assert(state(cut[i]) == "granted")
  server_ended(cut[i])
  done(cut[i], "failed")
end
for i = 1, 30 do
  local r = ask(i % 6 + 1, {class = "t1", content = 5})
  run(1500)
  local s, why = state(r)
  assert(s == "granted", s .. " " .. why)
  done(r, "whole")
end
