/* repeats.c - tests, with real processes on loopback, of servers that repeat events of a stream or
 * number them in another way, and of what the caller gets. */
#include "fleet.h"

#include <string.h>

#define RUNS_MAX 4
#define CUT_WAIT (50 * FT_MS) /* between the last bytes and the end of a run */

/* What the servers send, one entry a run, whichever server it is. */
typedef struct
{
  const char *text;
  bool cut;         /* the connection breaks after it */
  const char *rest; /* sent apart, before the end; NULL: nothing */
} Run;

typedef struct
{
  LoopTimer timer;
  HCall *call;
  const Run *run;
} Stream;

static Run runs[RUNS_MAX];
static char *last_ids[RUNS_MAX]; /* Last-Event-Id as received, comma-separated; "": none */
static unsigned run_count;
static GPtrArray *streams; /* Stream */

static void
on_stream_end (LoopTimer *timer)
{
  const Stream *stream = (Stream *) timer;

  if (stream->run->rest)
    hcall_write (stream->call, stream->run->rest, strlen (stream->run->rest));
  if (stream->run->cut)
    hcall_abort (stream->call);
  else
    hcall_end (stream->call);
}

static char *
received_ids (const HMsg *msg)
{
  GString *ids = g_string_new (NULL);

  for (unsigned i = 0; i < hmsg_field_count (msg); i++)
    if (g_ascii_strcasecmp (hmsg_field_name (msg, i), "Last-Event-Id") == 0)
      g_string_append_printf (ids, "%s%s", ids->len ? "," : "", hmsg_field_value (msg, i));
  return g_string_free (ids, FALSE);
}

static void
on_request (void *owner, HCall *call)
{
  Fleet *fleet = owner;

  if (fleet_answer_check (call))
    return;
  Stream *stream = g_new0 (Stream, 1);
  GString *fields = g_string_new (NULL);
  const HMsg *msg = hcall_msg (call);

  g_assert_cmpuint (run_count, <, RUNS_MAX);
  const Run *run = &runs[run_count];
  g_ptr_array_add (streams, stream);
  last_ids[run_count++] = received_ids (msg);
  *stream = (Stream){ .timer.fire = on_stream_end, .call = call, .run = run };
  hcall_set_user (call, stream);
  hwrite_field (fields, "X-Foxtailgrade-Request-Id", hmsg_field (msg, "X-Foxtailgrade-Request-Id"));
  hwrite_field (fields, "X-Foxtailgrade-Server-Signature",
                hmsg_field (msg, "X-Foxtailgrade-Expect-Instance"));
  hwrite_field (fields, "Content-Type", "text/event-stream");
  hcall_begin (call, 200, fields);
  hcall_write (call, run->text, strlen (run->text));
  g_string_free (fields, TRUE);
  loop_timer_set (fleet->loop, &stream->timer, loop_now (fleet->loop) + CUT_WAIT);
}

static void
on_gone (void *owner, HCall *call)
{
  Stream *stream = hcall_user (call);

  if (stream)
    loop_timer_stop (((Fleet *) owner)->loop, &stream->timer);
}

static const HSrvOps stream_ops = { on_request, on_gone, NULL };

static Fleet *
start_fleet (const Run *list, unsigned count)
{
  Fleet *fleet = fleet_new ();

  run_count = 0;
  memcpy (runs, list, count * sizeof *list);
  fleet_start_all (fleet);
  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    {
      FleetServer *server = &fleet->servers[i];
      hsrv_free (server->srv);
      server->srv = hsrv_new (fleet->loop, server->listen_addr, &stream_ops, fleet);
      g_assert_nonnull (server->srv);
    }
  return fleet;
}

static void
end_fleet (Fleet *fleet)
{
  for (unsigned i = 0; i < run_count; i++)
    g_free (last_ids[i]);
  fleet_free (fleet);
}

static bool
is_done (void *data)
{
  return ((const Answer *) data)->done;
}

/* Plays a stream; last_event 0: of a caller that has nothing yet. */
static void
play (Fleet *fleet, const char *path, unsigned last_event, Answer *answer)
{
  if (last_event)
    fleet_resume (fleet, &fleet->entries[0], path, "s", last_event, NULL, "body", answer);
  else
    fleet_send (fleet, &fleet->entries[0], path, "s", answer);
  fleet_run_until (fleet, is_done, answer, "the stream ends");
}

static void
check (Fleet *fleet, Answer *answer, bool broken, const char *body)
{
  if (answer->broken != broken || strcmp (answer->body->str, body) != 0)
    g_error ("status %u, broken %d, \"%s\" (logs in %s)", answer->status, answer->broken,
             answer->body->str, fleet->base);
  fleet_answer_clear (answer);
}

/* A caller comes back with event 2. The first server breaks off before a new event, the second one
 * ignores Last-Event-Id and begins at its first event. */
static void
return_at_first_event (void)
{
  static const Run list[]
      = { { "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda", true, NULL },
          { "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n", false,
            NULL } };
  Fleet *fleet = start_fleet (list, G_N_ELEMENTS (list));
  Answer answer;

  play (fleet, "/stream/a", 2, &answer);
  check (fleet, &answer, false, "id: 3\ndata: c\n\nid: 4\ndata: d\n\n");
  g_assert_cmpuint (run_count, ==, 2);
  g_assert_cmpstr (last_ids[0], ==, "2");
  g_assert_cmpstr (last_ids[1], ==, "2");
  end_fleet (fleet);
}

/* The first server repeats event 2 and breaks off after event 3: the second one is asked for what
 * follows that, by one field. */
static void
return_repeats_event (void)
{
  static const Run list[] = { { "id: 2\ndata: b\n\nid: 3\ndata: c\n\n", true, NULL },
                              { "id: 3\ndata: c\n\nid: 4\ndata: d\n\n", false, NULL } };
  Fleet *fleet = start_fleet (list, G_N_ELEMENTS (list));
  Answer answer;

  play (fleet, "/stream/a", 2, &answer);
  check (fleet, &answer, false, "id: 3\ndata: c\n\nid: 4\ndata: d\n\n");
  g_assert_cmpuint (run_count, ==, 2);
  g_assert_cmpstr (last_ids[0], ==, "2");
  g_assert_cmpstr (last_ids[1], ==, "3");
  end_fleet (fleet);
}

/* The route's streams cannot be taken up again, so the field means nothing to this system. */
static void
route_without_returns (void)
{
  static const Run list[] = { { "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", false, NULL } };
  Fleet *fleet = start_fleet (list, G_N_ELEMENTS (list));
  Answer answer;

  play (fleet, "/once/a", 2, &answer);
  check (fleet, &answer, false, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  g_assert_cmpstr (last_ids[0], ==, "2");
  end_fleet (fleet);
}

/* The LF of the line end that completes an event comes apart from its CR. */
static void
line_end_in_two_parts (void)
{
  static const Run list[] = { { "id: 1\r\ndata: a\r\n\r", false, "\n" } };
  Fleet *fleet = start_fleet (list, G_N_ELEMENTS (list));
  Answer answer;

  play (fleet, "/stream/a", 0, &answer);
  check (fleet, &answer, false, "id: 1\r\ndata: a\r\n\r\n");
  end_fleet (fleet);
}

/* Guards against sending events again, or from the start, that have no id by which the next server
 * could go on after them. */
static void
cut_after_event_without_id (gconstpointer text)
{
  const Run list[] = { { text, true, NULL }, { text, false, NULL } };
  Fleet *fleet = start_fleet (list, G_N_ELEMENTS (list));
  Answer answer;

  play (fleet, "/stream/a", 0, &answer);
  check (fleet, &answer, true, text);
  g_assert_cmpuint (run_count, ==, 1);
  end_fleet (fleet);
}

/* Comments, and events without data, need no id. */
static void
cut_after_comment (void)
{
  static const Run list[] = { { "id: 1\ndata: a\n\n: ping\n\nevent: e\n\n", true, NULL },
                              { "id: 2\ndata: b\n\n", false, NULL } };
  Fleet *fleet = start_fleet (list, G_N_ELEMENTS (list));
  Answer answer;

  play (fleet, "/stream/a", 0, &answer);
  check (fleet, &answer, false, "id: 1\ndata: a\n\n: ping\n\nevent: e\n\nid: 2\ndata: b\n\n");
  g_assert_cmpuint (run_count, ==, 2);
  g_assert_cmpstr (last_ids[1], ==, "1");
  end_fleet (fleet);
}

/* The route's requests may run again, but its streams may not be resumed: pieces of two runs must
 * not be joined. */
static void
cut_on_repeatable_route (void)
{
  static const Run list[] = { { "id: 1\ndata: a\n\n", true, NULL },
                              { "id: 1\ndata: A\n\nid: 2\ndata: B\n\n", false, NULL } };
  Fleet *fleet = start_fleet (list, G_N_ELEMENTS (list));
  Answer answer;

  play (fleet, "/plain/a", 0, &answer);
  check (fleet, &answer, true, "id: 1\ndata: a\n\n");
  end_fleet (fleet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/repeats/return_at_first_event", return_at_first_event);
  g_test_add_func ("/repeats/return_repeats_event", return_repeats_event);
  g_test_add_func ("/repeats/route_without_returns", route_without_returns);
  g_test_add_func ("/repeats/line_end_in_two_parts", line_end_in_two_parts);
  g_test_add_data_func ("/repeats/cut/no_ids", "data: a\n\ndata: b\n\n",
                        cut_after_event_without_id);
  g_test_add_data_func ("/repeats/cut/last_without_id", "id: 1\ndata: a\n\ndata: b\n\n",
                        cut_after_event_without_id);
  g_test_add_data_func ("/repeats/cut/empty_id", "id: 1\ndata: a\n\nid:\ndata\n\n",
                        cut_after_event_without_id);
  g_test_add_func ("/repeats/cut/comment", cut_after_comment);
  g_test_add_func ("/repeats/cut/repeatable_route", cut_on_repeatable_route);
  streams = g_ptr_array_new_with_free_func (g_free);
  int status = g_test_run ();
  g_ptr_array_unref (streams);
  return status;
}
