-- A new catalogue lowers an organisation's limit while its requests wait. Waiting requests beyond
-- the new limit must be refused at once, with the limit as the reason.
cluster{}
change(1, "a", 0, catalogue{window = 1})
run(3000)
server("p1", "e1", "live")
local all = {}
for i = 1, 6 do all[i] = ask(5, {class = "t3", first_ms = 60000}) end
run(100)
change(1, "b", 1, catalogue{window = 1, concurrent = 2, mark = 1})
run(2500)
local refused, kept = 0, 0
for _, request in ipairs(all) do
  local s, reason = state(request)
  if s == "refused" then refused = refused + 1; assert(reason == "limit-concurrent") else kept = kept + 1 end
end
assert(refused == 4 and kept == 2, refused .. " refused, " .. kept .. " kept")
