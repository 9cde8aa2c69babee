/* scenario.c - runs the Lua scripts of test/scenarios on simulated nodes.
 *
 * A scenario can call the functions below and fails by assert. Times are virtual milliseconds.
 *
 *   cluster{instances=, voters=, seed=, delay_ms=}   starts the nodes; must be the first call
 *   run(ms)  now()
 *   kill(i)  restart(i) -> ok, status  wipe(i)  freeze(i)  thaw(i)
 *   cut(a, b)  isolate(i)  heal()  disk_fails(i, yes)  damage(i, file, offset)  file_size(i, file)
 *   catalogue{pools=, concurrent=, per_minute=, queue=, window=, mark=} -> text
 *   change(i, id, base, text)  claim(i, key, digest, request)  claim_end(i, key, request, how)
 *   find(i, kind, id)          -> ticket; kind: answer, refusal, claim, history, in_force,
 *                              catalogue or suspects
 *   result(ticket)             -> status or nil, revision, text
 *   revision(i)  fresh(i)  member(i)  broken(i)  leader()  holder(pool)  leave(i) -> left
 *   server(pool, name, state)  tells every live node; state: live, leaving or gone
 *   server_at(i, pool, name, state)   tells one node
 *   ask(i, {pool=, org=, class=, prompt=, first_ms=, due_ms=,
 *          out=, content=}) -> request
 *   progress(request, tokens)  done(request, how)  ask_again(request)
 *   server_ended(request)      reports that the server of the request crashed
 *   release(i, content)        lets a quarantined content be sent again
 *   note(i, id)                records a refusal for auditors, as the program around a node does
 *   state(request) -> waiting, granted, paused or refused; server or reason; number of grants
 */
#include "sim.h"

#include <lauxlib.h>
#include <lua.h>
#include <lualib.h>
#include <string.h>

typedef struct
{
  const char *state;
  char detail[64];
  unsigned instance, start_count, grants;
} Request;

typedef struct
{
  unsigned instance, start_count;
  uint64_t number;
  bool done;
  FtStatus status;
  uint64_t revision;
  char *text;
} Ticket;

typedef struct
{
  Sim *sim;
  unsigned instances, voters;
  GArray *requests; /* of Request, at its number - 1 */
  GArray *tickets;  /* of Ticket, at its number - 1 */
} World;

static World world;

/* ---- Callbacks of the simulation ---- */

static Request *
find_request (uint64_t number)
{
  return &g_array_index (world.requests, Request, number - 1);
}

static void
on_grant (Sim *sim, unsigned instance, uint64_t number, const char *server)
{
  Request *request = find_request (number);

  (void) sim;
  (void) instance;
  request->state = "granted";
  request->grants++;
  g_strlcpy (request->detail, server, sizeof request->detail);
}

static void
on_refuse (Sim *sim, unsigned instance, const FtRefusal *refusal)
{
  Request *request = find_request (refusal->request);

  (void) sim;
  (void) instance;
  request->state = "refused";
  g_strlcpy (request->detail, ft_reason_info (refusal->reason)->code, sizeof request->detail);
}

static void
on_pause (Sim *sim, unsigned instance, uint64_t number)
{
  (void) sim;
  (void) instance;
  find_request (number)->state = "paused";
}

static void
on_resume (Sim *sim, unsigned instance, uint64_t number)
{
  (void) sim;
  (void) instance;
  find_request (number)->state = "granted";
}

static void
complete_ticket (Sim *sim, unsigned instance, uint64_t number, FtStatus status, uint64_t revision,
                 const char *text, size_t size)
{
  for (unsigned i = 0; i < world.tickets->len; i++)
    {
      Ticket *ticket = &g_array_index (world.tickets, Ticket, i);
      if (ticket->instance != instance || ticket->number != number
          || ticket->start_count != sim_start_count (sim, instance))
        continue;
      ticket->done = true;
      ticket->status = status;
      ticket->revision = revision;
      ticket->text = g_strndup (text, size);
    }
}

static void
on_verdict (Sim *sim, unsigned instance, uint64_t number, FtStatus status, uint64_t revision,
            const char *text)
{
  complete_ticket (sim, instance, number, status, revision, text, strlen (text));
}

static void
on_found (Sim *sim, unsigned instance, uint64_t number, FtStatus status, const char *body,
          size_t size)
{
  complete_ticket (sim, instance, number, status, 0, body, size);
}

static const SimOps ops = { .grant = on_grant,
                            .refuse = on_refuse,
                            .pause = on_pause,
                            .resume = on_resume,
                            .verdict = on_verdict,
                            .found = on_found };

/* ---- Functions for scenarios ---- */

static lua_Integer
field_integer (lua_State *lua, int table, const char *name, lua_Integer fallback)
{
  lua_getfield (lua, table, name);
  lua_Integer value = luaL_optinteger (lua, -1, fallback);
  lua_pop (lua, 1);
  return value;
}

static const char *
field_string (lua_State *lua, int table, const char *name, const char *fallback)
{
  lua_getfield (lua, table, name);
  const char *value = luaL_optstring (lua, -1, fallback);
  lua_pop (lua, 1); /* the table keeps it alive */
  return value;
}

static unsigned
instance_arg (lua_State *lua, int at)
{
  lua_Integer instance = luaL_checkinteger (lua, at);

  luaL_argcheck (lua, instance >= 1 && instance <= world.instances, at, "no such instance");
  return (unsigned) instance;
}

static FtNode *
node_arg (lua_State *lua, int at)
{
  FtNode *node = sim_node (world.sim, instance_arg (lua, at));

  luaL_argcheck (lua, node != NULL, at, "the instance is not running");
  return node;
}

static int
do_cluster (lua_State *lua)
{
  SimConf conf = { .instances = (unsigned) field_integer (lua, 1, "instances", 6),
                   .voters = (unsigned) field_integer (lua, 1, "voters", 3),
                   .seed = (uint64_t) field_integer (lua, 1, "seed", 1),
                   .delay = field_integer (lua, 1, "delay_ms", 1) * FT_MS,
                   .clock_error = 0.001 };

  world.instances = conf.instances;
  world.voters = conf.voters;
  world.sim = sim_new (&conf, &ops, &world);
  sim_run (world.sim, 3 * FT_SECOND);
  return 0;
}

static int
do_run (lua_State *lua)
{
  sim_run (world.sim, sim_now (world.sim) + luaL_checkinteger (lua, 1) * FT_MS);
  return 0;
}

static int
do_now (lua_State *lua)
{
  lua_pushinteger (lua, sim_now (world.sim) / FT_MS);
  return 1;
}

static int
do_kill (lua_State *lua)
{
  sim_kill (world.sim, instance_arg (lua, 1));
  return 0;
}

static int
do_restart (lua_State *lua)
{
  FtStatus status = sim_restart (world.sim, instance_arg (lua, 1));

  lua_pushboolean (lua, status == FT_OK);
  lua_pushstring (lua, ft_strerror (status));
  return 2;
}

static int
do_wipe (lua_State *lua)
{
  sim_wipe_disk (world.sim, instance_arg (lua, 1));
  return 0;
}

static int
do_freeze (lua_State *lua)
{
  sim_freeze (world.sim, instance_arg (lua, 1), true);
  return 0;
}

static int
do_thaw (lua_State *lua)
{
  sim_freeze (world.sim, instance_arg (lua, 1), false);
  return 0;
}

static int
do_cut (lua_State *lua)
{
  sim_set_link_cut (world.sim, instance_arg (lua, 1), instance_arg (lua, 2), true);
  return 0;
}

static int
do_isolate (lua_State *lua)
{
  unsigned instance = instance_arg (lua, 1);

  for (unsigned i = 1; i <= world.instances; i++)
    if (i != instance)
      {
        sim_set_link_cut (world.sim, instance, i, true);
        sim_set_link_cut (world.sim, i, instance, true);
      }
  return 0;
}

static int
do_heal (lua_State *lua)
{
  (void) lua;
  sim_heal_links (world.sim);
  return 0;
}

static int
do_disk_fails (lua_State *lua)
{
  sim_set_disk_failing (world.sim, instance_arg (lua, 1), lua_toboolean (lua, 2));
  return 0;
}

static int
do_damage (lua_State *lua)
{
  lua_pushboolean (lua,
                   sim_corrupt_file (world.sim, instance_arg (lua, 1), luaL_checkstring (lua, 2),
                                     (size_t) luaL_checkinteger (lua, 3)));
  return 1;
}

static int
do_file_size (lua_State *lua)
{
  lua_pushinteger (lua, (lua_Integer) sim_file_size (world.sim, instance_arg (lua, 1),
                                                     luaL_checkstring (lua, 2)));
  return 1;
}

/* Returns a catalogue with organisations o1 to o4, classes t1 to t5 of tiers 1 to 5, pools p1, p2
 * and so on, and service s. */
static int
do_catalogue (lua_State *lua)
{
  GString *out = g_string_new ("{\"organisations\":[");
  int table = lua_istable (lua, 1) ? 1 : (lua_newtable (lua), lua_gettop (lua));

  for (unsigned i = 1; i <= 4; i++)
    g_string_append_printf (out,
                            "%s{\"name\":\"o%u\",\"owner\":\"w\",\"class\":\"t3\",\"key_sha256\":"
                            "\"%064x\",\"limits\":{\"concurrent\":%d,\"requests_per_minute\":%d}}",
                            i > 1 ? "," : "", i,
                            (unsigned) field_integer (lua, table, "mark", 0) * 16 + i,
                            (int) field_integer (lua, table, "concurrent", 0),
                            (int) field_integer (lua, table, "per_minute", 0));
  g_string_append (out, "],\"classes\":[");
  for (unsigned i = 1; i <= 5; i++)
    g_string_append_printf (out, "%s{\"name\":\"t%u\",\"owner\":\"w\",\"tier\":%u,\"limits\":{}}",
                            i > 1 ? "," : "", i, i);
  g_string_append (out, "],\"pools\":[");
  for (int i = 1; i <= field_integer (lua, table, "pools", 1); i++)
    g_string_append_printf (out,
                            "{\"name\":\"p%d\",\"owner\":\"w\",\"class\":\"t3\",\"kind\":\"model\","
                            "\"model\":\"m%d\",\"window\":%d,\"limits\":{\"queue\":%d}},",
                            i, i, (int) field_integer (lua, table, "window", 4),
                            (int) field_integer (lua, table, "queue", 0));
  g_string_append (out, "{\"name\":\"s\",\"owner\":\"w\",\"class\":\"t2\",\"kind\":\"service\","
                        "\"path\":\"/s\",\"idempotent\":false,\"limits\":{}}]}");
  lua_pushstring (lua, out->str);
  g_string_free (out, TRUE);
  return 1;
}

static int
push_ticket (lua_State *lua, unsigned instance, uint64_t number)
{
  Ticket ticket = { instance, sim_start_count (world.sim, instance), number, false, 0, 0, NULL };

  g_array_append_val (world.tickets, ticket);
  sim_flush (world.sim, instance);
  lua_pushinteger (lua, world.tickets->len);
  return 1;
}

static int
do_change (lua_State *lua)
{
  FtNode *node = node_arg (lua, 1);

  return push_ticket (lua, instance_arg (lua, 1),
                      ft_node_propose_catalogue (node, luaL_checkstring (lua, 2), "scenario",
                                                 (uint64_t) luaL_checkinteger (lua, 3),
                                                 luaL_checkstring (lua, 4), 1));
}

static int
do_claim (lua_State *lua)
{
  FtNode *node = node_arg (lua, 1);

  return push_ticket (lua, instance_arg (lua, 1),
                      ft_node_claim (node, luaL_checkstring (lua, 2), luaL_checkstring (lua, 3),
                                     luaL_checkstring (lua, 4), luaL_optinteger (lua, 5, 1)));
}

static int
do_claim_end (lua_State *lua)
{
  static const char *const ends[] = { "released", "answered", "unknown", NULL };
  FtNode *node = node_arg (lua, 1);
  FtClaimOutcome end = (FtClaimOutcome) luaL_checkoption (lua, 4, NULL, ends);

  return push_ticket (
      lua, instance_arg (lua, 1),
      ft_node_end_claim (node, luaL_checkstring (lua, 2), luaL_checkstring (lua, 3), end, 1));
}

static int
do_find (lua_State *lua)
{
  static const char *const kinds[]
      = { "answer", "refusal", "claim", "history", "in_force", "catalogue", "suspects", NULL };
  FtNode *node = node_arg (lua, 1);
  FtQueryKind kind = (FtQueryKind) luaL_checkoption (lua, 2, NULL, kinds);

  return push_ticket (lua, instance_arg (lua, 1),
                      ft_node_query (node, kind, luaL_optstring (lua, 3, "")));
}

static int
do_result (lua_State *lua)
{
  lua_Integer number = luaL_checkinteger (lua, 1);

  luaL_argcheck (lua, number >= 1 && number <= world.tickets->len, 1, "no such ticket");
  const Ticket *ticket = &g_array_index (world.tickets, Ticket, number - 1);
  if (!ticket->done)
    return 0;
  lua_pushstring (lua, ft_strerror (ticket->status));
  lua_pushinteger (lua, (lua_Integer) ticket->revision);
  lua_pushstring (lua, ticket->text);
  return 3;
}

static int
do_revision (lua_State *lua)
{
  FtCat *cat = ft_node_catalogue (node_arg (lua, 1));

  lua_pushinteger (lua, cat ? (lua_Integer) ft_cat_revision (cat) : 0);
  return 1;
}

static int
do_fresh (lua_State *lua)
{
  lua_pushboolean (lua, ft_node_is_fresh (node_arg (lua, 1)));
  return 1;
}

static int
do_member (lua_State *lua)
{
  FtNodeStatus status;

  ft_node_status (node_arg (lua, 1), &status);
  lua_pushboolean (lua, status.member);
  return 1;
}

static int
do_broken (lua_State *lua)
{
  FtNodeStatus status;

  ft_node_status (node_arg (lua, 1), &status);
  lua_pushboolean (lua, status.broken);
  return 1;
}

/* The live voter that considers itself the leader in the newest term; 0: there is none. */
static int
do_leader (lua_State *lua)
{
  uint64_t term = 0;
  unsigned leader = 0;

  for (unsigned i = 1; i <= world.voters; i++)
    {
      FtNodeStatus status;
      if (sim_node (world.sim, i) == NULL || sim_is_frozen (world.sim, i))
        continue;
      ft_node_status (sim_node (world.sim, i), &status);
      if (status.leader != i || status.term <= term)
        continue;
      term = status.term;
      leader = i;
    }
  lua_pushinteger (lua, leader);
  return 1;
}

static int
do_holder (lua_State *lua)
{
  unsigned holder = 0;

  for (unsigned i = 1; i <= world.instances; i++)
    if (sim_node (world.sim, i) && !sim_is_frozen (world.sim, i)
        && ft_node_holds_lease (sim_node (world.sim, i), luaL_checkstring (lua, 1)))
      holder = holder ? world.instances + 1 : i; /* two holders: a number that no instance has */
  lua_pushinteger (lua, holder);
  return 1;
}

static int
do_leave (lua_State *lua)
{
  lua_pushboolean (lua, ft_node_leave (node_arg (lua, 1)));
  sim_flush (world.sim, instance_arg (lua, 1));
  return 1;
}

static FtServerState
state_arg (lua_State *lua, int at)
{
  static const char *const states[] = { "live", "leaving", "gone", NULL };

  return (FtServerState) luaL_checkoption (lua, at, NULL, states);
}

static int
do_server_at (lua_State *lua)
{
  ft_node_update_server (node_arg (lua, 1), luaL_checkstring (lua, 2), luaL_checkstring (lua, 3), 1,
                         state_arg (lua, 4));
  sim_flush (world.sim, instance_arg (lua, 1));
  return 0;
}

static int
do_server (lua_State *lua)
{
  for (unsigned i = 1; i <= world.instances; i++)
    if (sim_node (world.sim, i) && !sim_is_frozen (world.sim, i))
      {
        ft_node_update_server (sim_node (world.sim, i), luaL_checkstring (lua, 1),
                               luaL_checkstring (lua, 2), 1, state_arg (lua, 3));
        sim_flush (world.sim, i);
      }
  return 0;
}

static int
do_ask (lua_State *lua)
{
  FtNode *node = node_arg (lua, 1);
  Request request = { "waiting", "", instance_arg (lua, 1), 0, 0 };

  luaL_checktype (lua, 2, LUA_TTABLE);
  request.start_count = sim_start_count (world.sim, request.instance);
  g_array_append_val (world.requests, request);
  FtNodeRequest ask = { .request = world.requests->len,
                        .pool = field_string (lua, 2, "pool", "p1"),
                        .org = field_string (lua, 2, "org", "o1"),
                        .class_name = field_string (lua, 2, "class", "t3"),
                        .prompt_tokens = (unsigned) field_integer (lua, 2, "prompt", 100),
                        .most_tokens = (unsigned) field_integer (lua, 2, "out", 100),
                        .first_token_in_us = field_integer (lua, 2, "first_ms", 2000) * FT_MS,
                        .deadline_in_us = field_integer (lua, 2, "due_ms", 60000) * FT_MS,
                        .content = (uint64_t) field_integer (lua, 2, "content", 0) };
  ft_node_submit (node, &ask);
  sim_flush (world.sim, request.instance);
  lua_pushinteger (lua, world.requests->len);
  return 1;
}

static Request *
request_arg (lua_State *lua, FtNode **node)
{
  lua_Integer number = luaL_checkinteger (lua, 1);

  luaL_argcheck (lua, number >= 1 && number <= world.requests->len, 1, "no such request");
  Request *request = find_request ((uint64_t) number);
  *node = sim_start_count (world.sim, request->instance) == request->start_count
              ? sim_node (world.sim, request->instance)
              : NULL;
  return request;
}

static int
do_progress (lua_State *lua)
{
  FtNode *node;
  Request *request = request_arg (lua, &node);

  if (node)
    {
      ft_node_progress (node, (uint64_t) lua_tointeger (lua, 1),
                        (unsigned) luaL_checkinteger (lua, 2));
      sim_flush (world.sim, request->instance);
    }
  return 0;
}

static int
do_done (lua_State *lua)
{
  static const char *const ends[] = { "whole", "failed", "refused", "cancelled", NULL };
  FtNode *node;
  Request *request = request_arg (lua, &node);

  request->state = "done";
  if (node)
    {
      ft_node_end_request (node, (uint64_t) lua_tointeger (lua, 1),
                           (FtOutcome) luaL_checkoption (lua, 2, "whole", ends), 100);
      sim_flush (world.sim, request->instance);
    }
  return 0;
}

static int
do_server_ended (lua_State *lua)
{
  FtNode *node;
  const Request *request = request_arg (lua, &node);

  if (node)
    {
      ft_node_report_crash (node, (uint64_t) lua_tointeger (lua, 1),
                            (int64_t) sim_now (world.sim) / FT_MS);
      sim_flush (world.sim, request->instance);
    }
  return 0;
}

static int
do_release (lua_State *lua)
{
  ft_node_release_content (node_arg (lua, 1), (uint64_t) luaL_checkinteger (lua, 2));
  sim_flush (world.sim, instance_arg (lua, 1));
  return 0;
}

static int
do_ask_again (lua_State *lua)
{
  FtNode *node;
  Request *request = request_arg (lua, &node);

  request->state = "waiting";
  if (node)
    {
      ft_node_resubmit (node, (uint64_t) lua_tointeger (lua, 1));
      sim_flush (world.sim, request->instance);
    }
  return 0;
}

static int
do_note (lua_State *lua)
{
  ft_node_record_refusal (node_arg (lua, 1), luaL_checkstring (lua, 2), "o1",
                          FT_REASON_LIMIT_CONCURRENT, 3, 1000, "the rule", 1);
  return 0;
}

static int
do_state (lua_State *lua)
{
  FtNode *node;
  const Request *request = request_arg (lua, &node);

  lua_pushstring (lua, request->state);
  lua_pushstring (lua, request->detail);
  lua_pushinteger (lua, request->grants);
  return 3;
}

static const luaL_Reg functions[] = {
  { "cluster", do_cluster },
  { "run", do_run },
  { "now", do_now },
  { "kill", do_kill },
  { "restart", do_restart },
  { "wipe", do_wipe },
  { "freeze", do_freeze },
  { "thaw", do_thaw },
  { "cut", do_cut },
  { "isolate", do_isolate },
  { "heal", do_heal },
  { "disk_fails", do_disk_fails },
  { "damage", do_damage },
  { "file_size", do_file_size },
  { "catalogue", do_catalogue },
  { "change", do_change },
  { "claim", do_claim },
  { "claim_end", do_claim_end },
  { "find", do_find },
  { "result", do_result },
  { "revision", do_revision },
  { "fresh", do_fresh },
  { "member", do_member },
  { "broken", do_broken },
  { "leader", do_leader },
  { "holder", do_holder },
  { "leave", do_leave },
  { "server", do_server },
  { "server_at", do_server_at },
  { "ask", do_ask },
  { "progress", do_progress },
  { "done", do_done },
  { "ask_again", do_ask_again },
  { "server_ended", do_server_ended },
  { "release", do_release },
  { "state", do_state },
  { "note", do_note },
  { NULL, NULL },
};

static void
run_scenario (const void *path)
{
  lua_State *lua = luaL_newstate ();

  memset (&world, 0, sizeof world);
  world.requests = g_array_new (FALSE, FALSE, sizeof (Request));
  world.tickets = g_array_new (FALSE, FALSE, sizeof (Ticket));
  luaL_openlibs (lua);
  lua_pushglobaltable (lua);
  luaL_setfuncs (lua, functions, 0);
  lua_pop (lua, 1);
  if (luaL_dofile (lua, path) != LUA_OK)
    {
      g_test_message ("%s", lua_tostring (lua, -1));
      g_test_fail_printf ("%s", lua_tostring (lua, -1));
    }
  lua_close (lua);
  if (world.sim)
    sim_free (world.sim);
  for (unsigned i = 0; i < world.tickets->len; i++)
    g_free (g_array_index (world.tickets, Ticket, i).text);
  g_array_unref (world.tickets);
  g_array_unref (world.requests);
}

static gint
by_name (gconstpointer a, gconstpointer b)
{
  return strcmp (*(char *const *) a, *(char *const *) b);
}

int
main (int argc, char **argv)
{
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);
  const char *name;

  g_test_init (&argc, &argv, NULL);
  GDir *folder = g_dir_open (SCENARIOS, 0, NULL);
  while (folder && (name = g_dir_read_name (folder)) != NULL)
    if (g_str_has_suffix (name, ".lua"))
      g_ptr_array_add (names, g_strdup (name));
  if (folder)
    g_dir_close (folder);
  g_ptr_array_sort (names, by_name);
  for (unsigned i = 0; i < names->len; i++)
    {
      char *test = g_strdup_printf ("/scenario/%.*s", (int) strlen (names->pdata[i]) - 4,
                                    (char *) names->pdata[i]);
      g_test_add_data_func_full (test, g_build_filename (SCENARIOS, names->pdata[i], NULL),
                                 run_scenario, g_free);
      g_free (test);
    }
  g_ptr_array_unref (names);
  return g_test_run ();
}
