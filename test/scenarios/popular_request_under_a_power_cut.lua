-- A failure domain loses power: three servers crash at once while they run the same request, which
-- many callers send. Another instance has just answered it completely and reports that, so none of
-- these callers may be refused.
cluster{}
change(1, "a", 0, catalogue{})
run(3000)
for i = 1, 5 do server("p1", "e" .. i, "live") end
local before = ask(6, {class = "t1", content = 5})
run(100)
done(before, "whole")
local affected = {}
for i = 1, 3 do affected[i] = ask(i, {class = "t1", content = 5}) end
run(100)
for i = 1, 3 do
  assert(state(affected[i]) == "granted")
  server_ended(affected[i])
  done(affected[i], "failed")
end
for i = 1, 30 do
  local request = ask(i % 6 + 1, {class = "t1", content = 5})
  run(1500)
  local s, why = state(request)
  assert(s == "granted", s .. " " .. why)
  done(request, "whole")
end
