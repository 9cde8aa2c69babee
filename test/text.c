/* text.c - parsing of settings, catalogues, chat bodies and network messages: errors are located,
 * and malformed input does no harm. Also states and pieces of a request, and the call table. */
#include "body.h"
#include "call.h"
#include "conf.h"
#include "sim.h"
#include "sse.h"

#include <string.h>

#define INPUT_COUNT 2000

static const char catalogue[]
    = "// comment\n{\n  \"organisations\": [\n    { \"name\": \"o\", \"owner\": \"w\", \"class\": "
      "\"c\", \"key_sha256\": "
      "\"0000000000000000000000000000000000000000000000000000000000000001\", \"limits\": {} }\n"
      "  ],\n  \"classes\": [ { \"name\": \"c\", \"owner\": \"w\", \"tier\": 1, \"limits\": {} } "
      "],\n  \"pools\": [ { \"name\": \"p\", \"owner\": \"w\", \"class\": \"c\", \"kind\": "
      "\"model\", \"model\": \"m\", \"limits\": {} } ]\n}\n";

static char *
replace_once (const char *text, const char *from, const char *to)
{
  char **parts = g_strsplit (text, from, 2);

  g_assert_nonnull (parts[1]);
  char *out = g_strjoinv (to, parts);
  g_strfreev (parts);
  return out;
}

static void
expect_error (const char *from, const char *to, unsigned line, const char *field, const char *part)
{
  char *text = replace_once (catalogue, from, to);
  FtError error;
  FtCat *cat;

  g_assert_cmpint (ft_cat_new (text, 1, &cat, &error), ==, FT_INVALID);
  g_assert_null (cat);
  g_assert_cmpuint (error.line, ==, line);
  g_assert_cmpstr (error.field, ==, field);
  g_assert_nonnull (strstr (error.text, part));
  g_free (text);
}

static void
test_catalogue_errors (void)
{
  FtCat *cat;

  g_assert_cmpint (ft_cat_new (catalogue, 1, &cat, NULL), ==, FT_OK);
  g_assert_nonnull (ft_cat_pool_for_model (cat, "m"));
  ft_cat_unref (cat);
  expect_error ("\"tier\": 1", "\"tier\": 6", 6, "classes[0].tier", "from 1 to 5");
  expect_error ("\"tier\": 1", "\"tier\": \"1\"", 6, "classes[0].tier", "whole number");
  expect_error ("\"class\": \"c\", \"kind\"", "\"class\": \"d\", \"kind\"", 7, "pools[0].class",
                "not among classes");
  expect_error ("\"owner\": \"w\", \"class\"", "\"owner\": \"w\", \"owner\": \"v\", \"class\"", 4,
                "organisations[0].owner", "duplicate key");
  expect_error ("\"model\": \"m\"", "\"modell\": \"m\"", 7, "pools[0].modell", "unknown key");
  expect_error (", \"limits\": {} }\n  ]", " }\n  ]", 4, "organisations[0].limits", "is missing");
  expect_error ("\"pools\": [", "\"pools\": [ 3, ", 7, "pools[0]", "must be an object");
  expect_error ("]\n}", "]\n} x", 8, "", "after the end");
}

static void
test_settings_errors (void)
{
  static const char settings[]
      = "{ \"id\": 1, \"failure_domain\": \"a\", \"address\": \"127.0.0.1\",\n"
        "\"caller_port\": 1, \"operator_port\": 2, \"link_port\": 3, \"link_key_file\": \"k\",\n"
        "\"operator_key_sha256\": "
        "\"0000000000000000000000000000000000000000000000000000000000000001\",\n"
        "\"platform_address\": \"http://127.0.0.1:1/\", \"data_folder\": \"d\",\n"
        "\"instances\": [ { \"id\": 1, \"address\": \"127.0.0.1\", \"link_port\": 3,\n"
        "\"failure_domain\": \"a\", \"voter\": true } ] }";
  static const char *const changes[][4] = {
    { "\"operator_port\": 2", "\"operator_port\": 1", "operator_port", "same as caller_port" },
    { "\"operator_port\": 2", "\"operator_port\": 70000", "operator_port", "65535" },
    { "\"id\": 1, \"failure", "\"id\": 2, \"failure", "id", "not the id of any" },
    { "\"voter\": true", "\"voter\": false", "instances", "1, 3, 5 or 7" },
    { "\"data_folder\": \"d\"", "\"data_folder\": \"\"", "data_folder", "voter" },
    { "\"address\": \"127.0.0.1\",", "\"address\": \"host\",", "address", "IPv4 address" },
    { "\"link_key_file\": \"k\",", "", "link_key_file", "is missing" },
  };
  FtError error;
  Conf *conf;

  g_assert_cmpint (conf_parse (settings, &conf, NULL), ==, FT_OK);
  conf_free (conf);
  for (unsigned i = 0; i < G_N_ELEMENTS (changes); i++)
    {
      char *text = replace_once (settings, changes[i][0], changes[i][1]);
      g_assert_cmpint (conf_parse (text, &conf, &error), ==, FT_INVALID);
      g_assert_cmpstr (error.field, ==, changes[i][2]);
      g_assert_nonnull (strstr (error.text, changes[i][3]));
      g_free (text);
    }
}

/* The state machine must not let a dispatched request be reported as not run, or be dispatched a
 * second time. */
static void
test_request_states (void)
{
  FtReq *req = ft_req_new ("id", NULL, NULL);

  g_assert_cmpint (ft_req_set_state (req, FT_REQ_DISPATCHED), ==, FT_INVALID);
  g_assert_cmpint (ft_req_set_state (req, FT_REQ_SUBMITTED), ==, FT_OK);
  g_assert_cmpint (ft_req_set_state (req, FT_REQ_GRANTED), ==, FT_OK);
  g_assert_cmpint (ft_req_undo_grant (req), ==, FT_OK); /* the connect was refused */
  g_assert_cmpint (ft_req_set_state (req, FT_REQ_GRANTED), ==, FT_OK);
  g_assert_cmpint (ft_req_set_state (req, FT_REQ_DISPATCHED), ==, FT_OK);
  g_assert_cmpint (ft_req_set_state (req, FT_REQ_DISPATCHED), ==, FT_INVALID);
  g_assert_cmpint (ft_req_undo_grant (req), ==, FT_INVALID);
  g_assert_cmpint (ft_req_set_state (req, FT_REQ_REFUSED), ==, FT_INVALID);
  g_assert_cmpint (ft_req_set_state (req, FT_REQ_UNKNOWN), ==, FT_OK);
  g_assert_cmpint (ft_req_set_state (req, FT_REQ_ANSWERED), ==, FT_INVALID);
  ft_req_unref (req);
}

/* Pieces come late, twice and out of order; the answer is complete once it has all of them. */
static void
test_pieces (void)
{
  FtReq *req = ft_req_new ("id", NULL, NULL);
  size_t size;

  g_assert_cmpint (ft_req_add_piece (req, 0, "a", 1), ==, FT_OK);
  g_assert_cmpint (ft_req_add_piece (req, 2, "c", 1), ==, FT_OK);
  g_assert_cmpint (ft_req_add_piece (req, 0, "x", 1), ==, FT_CONFLICT);
  g_assert_cmpint (ft_req_add_piece (req, 2, "x", 1), ==, FT_CONFLICT);
  ft_req_set_piece_count (req, 4);
  g_assert_cmpuint (ft_req_next_piece (req), ==, 1);
  g_assert_cmpint (ft_req_add_piece (req, 1, "b", 1), ==, FT_OK);
  g_assert_false (ft_req_is_complete (req));
  g_assert_cmpint (ft_req_add_piece (req, 3, "d", 1), ==, FT_OK);
  g_assert_true (ft_req_is_complete (req));
  const char *bytes = ft_req_bytes (req, &size);
  g_assert_cmpmem (bytes, size, "abcd", 4);
  ft_req_unref (req);
}

/* The table drops the oldest finished calls when it is over its size limit, and never running ones.
 */
static void
test_call_table (void)
{
  CallTable *calls = calls_new (600 * FT_SECOND, 2000);
  Call *running = call_new ("running");

  running->req = ft_req_new ("running", NULL, NULL);
  g_assert_cmpint (calls_add (calls, running), ==, FT_OK);
  g_assert_cmpint (calls_add (calls, running), ==, FT_CONFLICT);
  for (unsigned i = 0; i < 50; i++)
    {
      char id[16];
      g_snprintf (id, sizeof id, "c%u", i);
      Call *call = call_new (id);
      call->req = ft_req_new (id, NULL, NULL);
      g_assert_cmpint (calls_add (calls, call), ==, FT_OK);
      calls_finish (calls, call, FT_SECOND);
      call_unref (call);
    }
  g_assert_null (calls_find (calls, "c0"));
  Call *found = calls_find (calls, "running");
  g_assert_true (found == running);
  call_unref (found);
  g_assert_cmpuint (calls_running (calls), ==, 1);
  call_unref (running);
  calls_free (calls);
}

/* ---- Malformed input ---- */

static char *
corrupt (GRand *random, const char *text, gsize size)
{
  char *copy = g_memdup2 (text, size + 1);
  unsigned changes = 1 + (unsigned) g_rand_int_range (random, 0, 8);

  for (unsigned i = 0; i < changes; i++)
    {
      gsize at = (gsize) g_rand_int_range (random, 0, (gint32) size);
      copy[at] = (char) (g_rand_boolean (random) ? "{}[]\",:0/*\\"[g_rand_int_range (random, 0, 11)]
                                                 : g_rand_int_range (random, 1, 256));
    }
  if (g_rand_int_range (random, 0, 4) == 0)
    copy[g_rand_int_range (random, 0, (gint32) size)] = '\0';
  return copy;
}

static void
test_malformed_text (void)
{
  GRand *random = g_rand_new_with_seed (1);
  static const char chat[] = "{\"model\":\"m\",\"stream\":true,\"max_tokens\":5,\"messages\":"
                             "[{\"role\":\"user\",\"content\":[{\"type\":\"text\",\"text\":\"hi\"}"
                             "]}]}";
  unsigned refused = 0;

  for (unsigned i = 0; i < INPUT_COUNT; i++)
    {
      FtError error = { 0 };
      FtCat *cat = NULL;
      Conf *conf = NULL;
      BodyChat body;
      char *text = corrupt (random, catalogue, sizeof catalogue - 1);
      FtStatus status = ft_cat_new (text, 1, &cat, &error);
      g_assert_true ((status == FT_OK) == (cat != NULL));
      g_assert_true (status == FT_OK || *error.text);
      refused += status != FT_OK;
      ft_cat_unref (cat);
      g_assert_cmpint (conf_parse (text, &conf, &error), ==, FT_INVALID);
      g_free (text);
      text = corrupt (random, chat, sizeof chat - 1);
      if (body_parse_chat (text, &body, &error) != FT_OK)
        g_assert_true (*error.field && *error.text);
      body_clear_chat (&body);
      g_free (text);
    }
  g_assert_cmpuint (refused, >, INPUT_COUNT / 2);
  g_rand_free (random);
}

static bool
note_event (void *user, gint64 id, const char *event, const char *data)
{
  (void) event;
  g_string_append_printf (user, "%" G_GINT64_FORMAT "=%s;", id, data);
  return true;
}

/* An id that is no number must not stand for piece 0: it would replace that piece, or end the
 * answer with no pieces. Parts of any size give the same. */
static void
test_engine_events (void)
{
  static const char *const cases[][2] = {
    { "id: 0\ndata: a\n\nid: 1\r\ndata: b\r\n\r\n", "0=a;1=b;" },
    { "id: x\ndata: a\n\nid:\ndata: b\n\nid: 3x\ndata: c\n\nid\ndata: d\n\n",
      "-1=a;-1=b;-1=c;-1=d;" },
    { "id: -1\ndata: a\n\nid: 99999999999999999999\ndata: b\n\n", "-1=a;-1=b;" },
    { "id: 4\nid:\ndata: [DONE]\n\n", "-1=[DONE];" },
    { "id: 0\rdata: a\r\rid: 1\rdata: b\r\r", "0=a;1=b;" },
    { "\xef\xbb\xbfid: 0\ndata: a\n\n", "0=a;" },
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    for (gsize cut = 0, size = strlen (cases[i][0]); cut <= size; cut++)
      {
        GString *seen = g_string_new (NULL);
        Sse sse;
        sse_init (&sse);
        g_assert_true (sse_feed (&sse, cases[i][0], cut, note_event, seen));
        g_assert_true (sse_feed (&sse, cases[i][0] + cut, size - cut, note_event, seen));
        g_assert_cmpstr (seen->str, ==, cases[i][1]);
        sse_clear (&sse);
        g_string_free (seen, TRUE);
      }
}

/* Guards against losing all but the first line of a piece's data. */
static void
test_engine_event_lines (void)
{
  static const char text[] = "id: 7\ndata: a\ndata: b\ndata:\ndata: c\n\n";
  GString *seen = g_string_new (NULL);
  Sse sse;

  char *event = sse_format (7, "a\nb\n\nc");
  sse_init (&sse);
  g_assert_true (sse_feed (&sse, text, strlen (text), note_event, seen));
  g_assert_true (sse_feed (&sse, event, strlen (event), note_event, seen));
  g_assert_cmpstr (seen->str, ==, "7=a\nb\n\nc;7=a\nb\n\nc;");
  sse_clear (&sse);
  g_free (event);
  g_string_free (seen, TRUE);
}

static bool
ignore_event (void *user, gint64 id, const char *event, const char *data)
{
  (void) user;
  (void) id;
  (void) event;
  return data != NULL;
}

static void
test_malformed_bytes (void)
{
  GRand *random = g_rand_new_with_seed (2);
  SimConf conf = { .instances = 3, .voters = 3, .seed = 5, .delay = 500 };
  static const SimOps none = { 0 };
  Sim *sim = sim_new (&conf, &none, NULL);

  sim_run (sim, 5 * FT_SECOND);
  for (unsigned i = 0; i < INPUT_COUNT; i++)
    {
      guint8 bytes[256];
      gsize size = (gsize) g_rand_int_range (random, 0, sizeof bytes);
      Sse sse;
      for (gsize j = 0; j < size; j++)
        bytes[j] = (guint8) (j % 4 == 3 ? g_rand_int_range (random, 0, 24)
                                        : (g_rand_int_range (random, 0, 6)
                                               ? 0
                                               : g_rand_int_range (random, 0, 256)));
      ft_node_receive (sim_node (sim, 1 + i % 3), 1 + (i + 1) % 3, 77, bytes, size);
      ft_node_flush (sim_node (sim, 1 + i % 3));
      sse_init (&sse);
      sse_feed (&sse, (const char *) bytes, size, ignore_event, NULL);
      sse_clear (&sse);
    }
  sim_run (sim, 10 * FT_SECOND);
  sim_free (sim);
  g_rand_free (random);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/text/catalogue-errors", test_catalogue_errors);
  g_test_add_func ("/text/settings-errors", test_settings_errors);
  g_test_add_func ("/text/request-life", test_request_states);
  g_test_add_func ("/text/pieces", test_pieces);
  g_test_add_func ("/text/book", test_call_table);
  g_test_add_func ("/text/engine-events", test_engine_events);
  g_test_add_func ("/text/engine-event-lines", test_engine_event_lines);
  g_test_add_func ("/text/malformed-text", test_malformed_text);
  g_test_add_func ("/text/malformed-bytes", test_malformed_bytes);
  return g_test_run ();
}
