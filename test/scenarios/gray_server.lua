-- A server accepts requests and never answers. After some seconds of silence from all its streams
-- it gets no more work; the rest goes to the server that answers.
cluster{}
change(1, "a", 0, catalogue{window = 4})
run(3000)
server("p1", "gray", "live")
local stuck = {}
for i = 1, 4 do stuck[i] = ask(5, {class = "t2"}) end
run(100)
server("p1", "good", "live")
run(4000)
for i = 1, 4 do
  local r = ask(6, {class = "t2"})
  run(20)
  local s, where = state(r)
  assert(s == "granted" and where == "good", "went to " .. where)
  done(r, "whole")
  run(20)
end
