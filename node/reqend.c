/* reqend.c - ends requests and tries: answers the caller, writes the log and reports to the
 * scheduler. */
#include "reqint.h"
#include "count.h"
#include "jlog.h"

#include <string.h>

void
req_clear_number (Req *req)
{
  if (req->number)
    g_hash_table_remove (req->requests->by_number, &req->number);
  req->number = 0;
}

void
req_free (Req *req)
{
  Loop *loop = req->requests->conf.loop;

  origdir_cancel (&req->lookup);
  loop_timer_stop (loop, &req->versions_wait);
  cds_list_del_init (&req->end_wait.link);
  req_withdraw_replacement (req);
  req_clear_number (req);
  g_ptr_array_remove_fast (req->requests->awaiting_catalogue, req);
  loop_timer_stop (loop, &req->deadline_timer);
  loop_timer_stop (loop, &req->silence);
  loop_timer_stop (loop, &req->verdict_wait);
  loop_timer_stop (loop, &req->ask_pause);
  loop_timer_stop (loop, &req->confirmation);
  loop_timer_stop (loop, &req->end_undecided);
  cds_list_del (&req->link);
  req->requests->open_count--;
  if (req->stream)
    {
      count_add (COUNT_EVENTS_DROPPED, events_dropped (req->stream));
      count_add (COUNT_EVENTS_SKIPPED, events_skipped (req->stream));
    }
  events_free (req->stream);
  g_string_free (req->fields, TRUE);
  g_string_free (req->buffered, TRUE);
  g_free (req->avoid_server);
  g_free (req->server);
  g_free (req->software);
  g_free (req->version);
  g_free (req->server_name);
  fingerprint_unref (req->print);
  rt_cat_unref (req->cat);
  loop_free_later (loop, req);
}

int64_t
req_now (const Req *req)
{
  return loop_now (req->requests->conf.loop);
}

CrashRun
req_crash_run (const Req *req)
{
  return (CrashRun){ req->print, req->id, req->events };
}

void
req_log_end (const Req *req, const char *event, unsigned status, const char *why)
{
  char buffer[CONTENT_ID_SIZE];
  const char *content = req->print ? content_format (req->print->keys[0], buffer) : "";
  jlog (JLOG_INFO, event, req->id, JL_INT ("status", status), JL_TEXT ("why", why),
        JL_TEXT ("route", req->route ? req->route->name : ""),
        JL_TEXT ("org", req->org ? req->org->name : ""), JL_TEXT ("content", content),
        JL_UINT ("catalogue", req->cat ? rt_cat_version (req->cat) : 0),
        JL_TEXT ("server", req->server), JL_TEXT ("software", req->software),
        JL_TEXT ("resumes", req->facts.resumes), JL_TEXT ("after_event", req->facts.last_event),
        JL_INT ("sends", req->sends), JL_TEXT ("last_try", req->last_event),
        JL_INT ("begun", req->begun), JL_INT ("may_have_run", req->may_have_run),
        JL_INT ("events", req->events),
        JL_INT ("dropped", req->stream ? events_dropped (req->stream) : 0),
        JL_INT ("skipped", req->stream ? events_skipped (req->stream) : 0),
        JL_INT ("unframed", req->close_delimited),
        JL_MS ("first_ms", req->first_at ? req->first_at - req->arrived : -1),
        JL_MS ("aim_ms", req->route ? req->route->target_us : 0),
        JL_MS ("sent_ms", req->sent_at ? req->sent_at - req->arrived : -1),
        JL_MS ("back_ms", req->waited_before),
        JL_INT ("tier", req->route ? rt_priority (req->route, req->org) : 0),
        JL_INT ("prompt", req->facts.prompt_tokens), JL_INT ("most", req->facts.output_max),
        JL_INT ("guess", req->facts.output_estimate), JL_MS ("pause_ms", req->longest_pause),
        JL_INT ("slowness", req->slowness), JL_INT ("kept", req->conn_idle > 0),
        JL_INT ("relay", req->relay.ip), JL_MS ("took_ms", req_now (req) - req->arrived),
        JL_MS ("left_ms", req->deadline - req_now (req)));
}

void
req_give_place_back (Req *req, SchedOutcome outcome)
{
  SchedResult result = { .outcome = outcome };

  if (req->number == 0)
    return;
  if (req->events > 4)
    result.event_us = req->event_gap_sum / (req->events - 1);
  if (req->sent_at)
    result.answer_us = (req->ended_at ? req->ended_at : req_now (req)) - req->sent_at;
  result.broke = req->broke_on_send;
  result.conn_idle_us = req->conn_idle;
  place_end (req->requests->conf.place, req->number, &result);
  req_clear_number (req);
}

void
req_end_try (Req *req, SchedOutcome outcome)
{
  Loop *loop = req->requests->conf.loop;
  HXfer *xfer = req->xfer;

  loop_timer_stop (loop, &req->silence);
  loop_timer_stop (loop, &req->end_undecided);
  cds_list_del_init (&req->end_wait.link);
  req->xfer = NULL;
  if (xfer)
    {
      CrashRun run = req_crash_run (req);
      if (!req->rejected && !req->ended_at)
        crashrep_abandoned (req->requests->conf.crash_reporter, req->server, &run);
      hxfer_cancel (xfer);
    }
  req_give_place_back (req, outcome);
}

void
req_answer_error (Req *req, unsigned status, int64_t retry_us, const char *why)
{
  GString *fields = g_string_new (NULL);
  bool refused = status == 503 || status == 429;
  char *body = g_strdup_printf ("{\"reason\":\"%s\",\"ran\":\"%s\",\"retry_after_ms\":%d}\n", why,
                                req->may_have_run ? "unknown" : "no", (int) (retry_us / FT_MS));

  count_inc (refused ? COUNT_REFUSED : COUNT_UNKNOWN);
  req_log_end (req, refused ? "refuse" : "fail", status, why);
  hwrite_field (fields, "Content-Type", "application/json");
  req->requests->conf.adapter_ops->write_own_answer (fields, *req->id ? req->id : NULL, retry_us);
  hcall_reply (req->call, status, fields, body, strlen (body));
  g_string_free (fields, TRUE);
  g_free (body);
  req_free (req);
}

void
req_break_off (Req *req, const char *why)
{
  if (req->unconfirmed && !req->asked_for_more && hcall_is_unframed (req->call))
    {
      jlog (JLOG_INFO, "end-unasked", req->id, JL_TEXT ("server", req->server),
            JL_TEXT ("why", why));
      req_finish (req);
      return;
    }
  count_inc (COUNT_BROKEN_OFF);
  req_log_end (req, "break-off", req->status, why);
  hcall_abort (req->call);
  req_free (req);
}

void
req_finish (Req *req)
{
  count_inc (COUNT_ANSWERED);
  count_observe (TIMED_WHOLE, req_now (req) - req->arrived);
  req_log_end (req, "answer", req->status, "");
  if (!req->begun && req->close_delimited)
    {
      hcall_begin_unframed (req->call, req->status, req->fields);
      hcall_write (req->call, req->buffered->str, req->buffered->len);
      hcall_end (req->call);
    }
  else if (req->begun)
    hcall_end (req->call);
  else
    hcall_reply (req->call, req->status, req->fields, req->buffered->str, req->buffered->len);
  req_free (req);
}
