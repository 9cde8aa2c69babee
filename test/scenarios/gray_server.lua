-- A server accepts requests and never answers. After some seconds of silence on all its streams it
-- must get no more requests; they go to the server that answers.
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
  local request = ask(6, {class = "t2"})
  run(20)
  local s, where = state(request)
  assert(s == "granted" and where == "good", "the request went to " .. where)
  done(request, "whole")
  run(20)
end
