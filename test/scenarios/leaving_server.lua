-- A backend server leaves. The platform's news reaches the entry before the scheduler: the grant
-- that still names the server is given back and goes elsewhere; no new work goes to it.
cluster{}
change(1, "a", 0, catalogue{window = 50})
run(3000)
server("p1", "e1", "live")
server("p1", "e2", "live")
local h = holder("p1")
local entry = h % 6 + 1
server_at(entry, "p1", "e1", "leaving")
for i = 1, 12 do
  local r = ask(entry, {class = "t2"})
  run(20)
  local s, where = state(r)
  assert(s ~= "granted" or where == "e2", "work went to the leaving server")
end
server("p1", "e1", "leaving")
run(100)
for i = 1, 12 do
  local r = ask(h, {class = "t2"})
  run(20)
  local s, where = state(r)
  assert(s ~= "granted" or where == "e2")
end
