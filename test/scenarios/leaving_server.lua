-- A backend server leaves, and the entry learns this from the platform before the scheduler does.
-- The entry must return a grant that still names the server, so that the request goes elsewhere.
-- Once the scheduler knows as well, it grants nothing on that server.
cluster{}
change(1, "a", 0, catalogue{window = 50})
run(3000)
server("p1", "e1", "live")
server("p1", "e2", "live")
local scheduler = holder("p1")
local entry = scheduler % 6 + 1
server_at(entry, "p1", "e1", "leaving")
for i = 1, 12 do
  local request = ask(entry, {class = "t2"})
  run(20)
  local s, where = state(request)
  assert(s ~= "granted" or where == "e2", "a request went to the leaving server")
end
server("p1", "e1", "leaving")
run(100)
for i = 1, 12 do
  local request = ask(scheduler, {class = "t2"})
  run(20)
  local s, where = state(request)
  assert(s ~= "granted" or where == "e2")
end
