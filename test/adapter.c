/* adapter.c - the adapter for the platform: parsing of catalogues, requests, answers and the list
 * of servers; compressed catalogues and settings. */
#include "platform.h"
#include "servers.h"
#include "settings.h"
#include "compress.h"

#include <glib/gstdio.h>
#include <string.h>

/* ---- Parsing an HTTP message ---- */

static HMsg *last_head;

static void
on_head (void *user, HMsg *msg)
{
  (void) user;
  last_head = msg;
}

static void
on_body (void *user, const char *data, size_t size)
{
  g_string_append_len (user, data, (gssize) size);
}

static void
on_end (void *user)
{
  (void) user;
}

static const HReadOps read_ops = { on_head, on_body, on_end };

static HReader *
read_message (bool request, const char *text, GString *body)
{
  HReader *read = hread_new (request, &read_ops, body);
  HReadFault fault;

  hread_feed (read, text, strlen (text), &fault);
  g_assert_cmpint (fault, ==, 0);
  return read;
}

/* ---- Catalogues ---- */

#define SERVICES "\"Services\":[{\"Name\":\"s\",\"HealthPath\":\"/h\"},{\"Name\":\"t\"}]"
#define ROUTE                                                                                      \
  "{\"Name\":\"r\",\"Host\":\"a\",\"PathPrefix\":\"/x/\",\"RouteType\":\"safe\",\"TimeoutMs\":10," \
  "\"Service\":\"s\"}"

static FtStatus
parse (const char *text, RtCat **cat, FtError *error)
{
  memset (error, 0, sizeof *error);
  return platform_read_catalogue (text, strlen (text), 0, cat, error);
}

/* Each catalogue with one fault is rejected with a message that names the fault. */
static void
invalid_catalogues (void)
{
  static const struct
  {
    const char *text, *expected_error;
  } cases[] = {
    { "{\"Version\":1,\"Routes\":[" ROUTE "]," SERVICES, "ends too early" },
    { "not json", "not JSON" },
    { "{\"Routes\":[" ROUTE "]," SERVICES "}", "above 0" },
    { "{\"Version\":0,\"Routes\":[" ROUTE "]," SERVICES "}", "above 0" },
    { "{\"Version\":1," SERVICES "}", "must be a list" },
    { "{\"Version\":1,\"Routes\":[" ROUTE "]}", "must be a list" },
    { "{\"Version\":1,\"Routes\":[" ROUTE "," ROUTE "]," SERVICES "}", "same host and prefix" },
    { "{\"Version\":1,\"Routes\":[{\"Name\":\"r\",\"Host\":\"a\",\"PathPrefix\":\"/x/\","
      "\"RouteType\":\"safe\",\"TimeoutMs\":10,\"Service\":\"u\"}]," SERVICES "}",
      "no service u" },
    { "{\"Version\":1,\"Routes\":[{\"Name\":\"r\",\"Host\":\"a\",\"PathPrefix\":\"/x/\","
      "\"RouteType\":\"safe\",\"TimeoutMs\":0,\"Service\":\"s\"}]," SERVICES "}",
      "time-out" },
    { "{\"Version\":1,\"Routes\":[{\"Name\":\"r\",\"Host\":\"a\",\"PathPrefix\":\"/x/\","
      "\"RouteType\":\"odd\",\"TimeoutMs\":9,\"Service\":\"s\"}]," SERVICES "}",
      "RouteType" },
    { "{\"Version\":1,\"Routes\":[{\"Name\":\"r\",\"Host\":\"a\",\"PathPrefix\":\"x\","
      "\"RouteType\":\"safe\",\"TimeoutMs\":9,\"Service\":\"s\"}]," SERVICES "}",
      "slash" },
    { "{\"Version\":1,\"Routes\":[{\"Name\":\"r\",\"Host\":\"a\",\"PathPrefix\":\"/x/\","
      "\"RouteType\":\"safe\",\"TimeoutMs\":9,\"Backends\":[{\"Service\":\"s\",\"Weight\":0},"
      "{\"Service\":\"t\",\"Weight\":0}]}]," SERVICES "}",
      "add up to 0" },
    { "{\"Version\":1,\"Routes\":[{\"Name\":\"r\",\"Host\":\"a\",\"PathPrefix\":\"/x/\","
      "\"RouteType\":\"safe\",\"TimeoutMs\":9}]," SERVICES "}",
      "names no service" },
    { "{\"Version\":1,\"Routes\":[" ROUTE "]," SERVICES
      ",\"Tenants\":[{\"Name\":\"a\",\"ApiKeys\":[\"k\"]},{\"Name\":\"b\",\"ApiKeys\":[\"k\"]}]}",
      "share a key" },
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      RtCat *cat = (RtCat *) 1;
      FtError error;
      g_assert_cmpint (parse (cases[i].text, &cat, &error), ==, FT_INVALID);
      g_assert_null (cat);
      if (strstr (error.text, cases[i].expected_error) == NULL)
        g_error ("case %u: error \"%s\" does not contain \"%s\"", i, error.text,
                 cases[i].expected_error);
    }
}

/* Guards against versions that are rounded to another one. */
static void
versions (void)
{
  static const struct
  {
    const char *text;
    uint64_t value; /* 0: it is refused */
  } cases[] = { { "1", 1 },
                { "9007199254740992", 9007199254740992u },
                { "9007199254740993", 9007199254740993u },
                { "20261207000000001", 20261207000000001u },
                { "9223372036854775807", 9223372036854775807u },
                { "9223372036854775808", 9223372036854775808u },
                { "18446744073709551614", 18446744073709551614u },
                { "8.0", 8 },
                { "1e3", 1000 },
                { "1.5E+1", 15 },
                { "9007199254740993.0", 9007199254740993u },
                { "90071992547409930e-1", 9007199254740993u },
                { "18446744073709551615", 0 },
                { "18446744073709551616", 0 },
                { "1e30", 0 },
                { "1e300", 0 },
                { "1e999999999999999999999", 0 },
                { "7.5", 0 },
                { "1.00000000000000000001", 0 },
                { "1e-1", 0 },
                { "0", 0 },
                { "0.0", 0 },
                { "-3", 0 },
                { "-3.0", 0 },
                { "-9223372036854775809", 0 },
                { "NaN", 0 },
                { "Infinity", 0 },
                { "\"8\"", 0 },
                { "null", 0 },
                { "true", 0 },
                { "[8]", 0 } };
  unsigned refused = 0;

  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *text
          = g_strdup_printf ("{\"Version\":%s,\"Routes\":[" ROUTE "]," SERVICES "}", cases[i].text);
      FtError error;
      RtCat *cat;
      FtStatus status = parse (text, &cat, &error);
      if ((status == FT_OK) != (cases[i].value != 0))
        g_error ("version %s: %s", cases[i].text, status == FT_OK ? "accepted" : error.text);
      if (status == FT_OK)
        g_assert_cmpuint (rt_cat_version (cat), ==, cases[i].value);
      else
        g_assert_cmpstr (error.field, ==, "Version");
      refused += status != FT_OK;
      rt_cat_unref (cat);
      /* A committed text is read in any case. */
      g_assert_cmpint (platform_read_catalogue (text, strlen (text), 42, &cat, &error), ==, FT_OK);
      g_assert_cmpuint (rt_cat_number (cat), ==, 42);
      g_assert_cmpuint (rt_cat_version (cat), ==, cases[i].value ? cases[i].value : 42);
      rt_cat_unref (cat);
      g_free (text);
    }
  g_assert_cmpuint (refused, ==, 19);
}

/* Guards against members whose values are taken for others: a cap, a key or a restriction that
 * cannot be read would be none. In committed texts nothing opens what a readable value closes. */
static void
members (void)
{
#define ROUTE_AND(member)                                                                          \
  "\"Routes\":[{\"Name\":\"r\",\"Host\":\"a\",\"PathPrefix\":\"/x/\",\"RouteType\":\"safe\","      \
  "\"Service\":\"s\"," member "}]," SERVICES
#define SERVICE_AND(member) "\"Routes\":[" ROUTE "],\"Services\":[{\"Name\":\"s\"," member "}]"
#define LIMITS(limits)      "\"Routes\":[" ROUTE "]," SERVICES ",\"Limits\":" limits
#define ORG_AND(member)                                                                            \
  "\"Routes\":[" ROUTE "]," SERVICES ",\"Tenants\":[{\"Name\":\"o\",\"ApiKeys\":[\"k\"]," member   \
  "}]"
  static const struct
  {
    const char *text, *field; /* field: that is refused; NULL: none */
  } cases[] = { { ROUTE_AND ("\"TimeoutMs\":\"9\""), "TimeoutMs" },
                { ROUTE_AND ("\"TimeoutMs\":-1"), "TimeoutMs" },
                { ROUTE_AND ("\"TimeoutMs\":NaN"), "TimeoutMs" },
                { ROUTE_AND ("\"TimeoutMs\":1e999"), "TimeoutMs" },
                { ROUTE_AND ("\"TimeoutMs\":1e300"), NULL },
                { ROUTE_AND ("\"TimeoutMs\":9.5"), NULL },
                { ROUTE_AND ("\"TimeoutMs\":9,\"Priority\":-1"), NULL },
                { ROUTE_AND ("\"TimeoutMs\":9,\"Priority\":1e300"), NULL },
                { ROUTE_AND ("\"TimeoutMs\":9,\"Priority\":\"0\""), "Priority" },
                { ROUTE_AND ("\"TimeoutMs\":9,\"MaxAttempts\":-2"), NULL },
                { ROUTE_AND ("\"TimeoutMs\":9,\"MaxAttempts\":[]"), "MaxAttempts" },
                { ROUTE_AND ("\"TimeoutMs\":9,\"Public\":\"false\""), "Public" },
                { ROUTE_AND ("\"TimeoutMs\":9,\"Public\":1"), "Public" },
                { ROUTE_AND ("\"TimeoutMs\":9,\"Public\":null"), NULL },
                { ROUTE_AND ("\"TimeoutMs\":9,\"Resumable\":\"no\""), "Resumable" },
                { ROUTE_AND ("\"TimeoutMs\":9,\"GapAimMs\":null"), NULL },
                { ROUTE_AND ("\"TimeoutMs\":9,\"Backends\":{}"), "Backends" },
                { SERVICE_AND ("\"MaxConnections\":-1"), "MaxConnections" },
                { SERVICE_AND ("\"MaxConnections\":1e10"), NULL },
                { SERVICE_AND ("\"HealthPath\":7"), "HealthPath" },
                { SERVICE_AND ("\"Engine\":true"), "Engine" },
                { SERVICE_AND ("\"Engine\":null"), NULL },
                { SERVICE_AND ("\"Engine\":{\"KvCapacityTokens\":1e30,\"Stride\":1e30}"), NULL },
                { SERVICE_AND ("\"Engine\":{\"Stride\":-1}"), "Stride" },
                { LIMITS ("[]"), "Limits" },
                { LIMITS ("{\"MaxBodyBytes\":-1}"), "MaxBodyBytes" },
                { LIMITS ("{\"MaxBodyBytes\":1e30,\"IdleTimeoutMs\":1e30}"), NULL },
                { LIMITS ("{\"HeaderTimeoutMs\":\"3000\"}"), "HeaderTimeoutMs" },
                { ORG_AND ("\"RatePerS\":\"100\""), "RatePerS" },
                { ORG_AND ("\"RatePerS\":-100"), "RatePerS" },
                { ORG_AND ("\"RatePerS\":0"), NULL },
                { ORG_AND ("\"Burst\":{}"), "Burst" },
                { ORG_AND ("\"Unit\":3"), "Unit" },
                { ORG_AND ("\"PlainTokens\":1e10"), NULL } };
  unsigned refused = 0;

  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *text = g_strdup_printf ("{\"Version\":1,%s}", cases[i].text);
      FtError error;
      RtCat *cat;
      FtStatus status = parse (text, &cat, &error);
      if ((status == FT_OK) != (cases[i].field == NULL)
          || (cases[i].field && strstr (error.text, cases[i].field) == NULL))
        g_error ("%s: %s", text, status == FT_OK ? "accepted" : error.text);
      refused += status != FT_OK;
      rt_cat_unref (cat);
      if (platform_read_catalogue (text, strlen (text), 1, &cat, &error) == FT_OK)
        {
          const RtRoute *route = rt_cat_route (cat, "a", "/x/");
          g_assert_false (route->open || route->resumable);
          g_assert_cmpint (route->timeout_us, >, 0);
          g_assert_cmpint (rt_cat_limits (cat)->idle_us, >, 0);
          g_assert_cmpuint (rt_cat_limits (cat)->body_bytes, <, G_MAXINT64);
          rt_cat_unref (cat);
        }
      else
        g_assert_true (strstr (text, "TimeoutMs\"") || strstr (text, "Backends\""));
      g_free (text);
    }
  g_assert_cmpuint (refused, ==, 21);
#undef ROUTE_AND
#undef SERVICE_AND
#undef LIMITS
#undef ORG_AND
}

/* Every truncation of a valid catalogue is rejected, and none crashes the process. */
static void
truncated_catalogues (void)
{
  const char *valid = "{\"Version\":1,\"Routes\":[" ROUTE "]," SERVICES "}";
  FtError error;
  RtCat *cat;

  for (size_t size = 0; size < strlen (valid); size++)
    {
      g_assert_cmpint (platform_read_catalogue (valid, size, 0, &cat, &error), ==, FT_INVALID);
      g_assert_null (cat);
    }
  g_assert_cmpint (parse (valid, &cat, &error), ==, FT_OK);
  rt_cat_unref (cat);
}

static void
valid_catalogue (void)
{
  const char *text
      = "{\"Version\":7,\"Routes\":[{\"Name\":\"r\",\"Host\":\"h.example\",\"PathPrefix\":\"/x/\","
        "\"RouteType\":\"streaming\",\"TimeoutMs\":5000,\"TargetLatencyMs\":500,\"Priority\":2,"
        "\"Backends\":[{\"Service\":\"s\",\"Weight\":90},{\"Service\":\"t\",\"Weight\":10}],"
        "\"MaxAttempts\":2,\"Public\":true,\"Resumable\":true,\"GapAimMs\":300}],"
        "\"Services\":[{\"Name\":\"s\",\"Engine\":{\"Stride\":4,\"KvCapacityTokens\":99}},"
        "{\"Name\":\"t\"}],\"Limits\":{\"MaxHeaderBytes\":100,\"MaxBodyBytes\":200,"
        "\"HeaderTimeoutMs\":300,\"IdleTimeoutMs\":400},\"Tenants\":[{\"Name\":\"o\",\"ApiKeys\":"
        "[\"k\",\"l\"],\"Priority\":1,\"Unit\":\"tokens\",\"PlainTokens\":200,\"RatePerS\":1000,"
        "\"Burst\":2000}],\"Unknown\":1}";
  FtError error;
  RtCat *cat;

  g_assert_cmpint (parse (text, &cat, &error), ==, FT_OK);
  g_assert_cmpuint (rt_cat_version (cat), ==, 7);
  const RtRoute *route = rt_cat_route (cat, "h.example", "/x/y");
  g_assert_cmpint (route->kind, ==, RT_STREAM);
  g_assert_cmpint (route->timeout_us, ==, 5 * FT_SECOND);
  g_assert_cmpint (route->gap_us, ==, 300 * FT_MS);
  g_assert_cmpuint (route->attempts, ==, 2);
  g_assert_true (route->open && route->resumable);
  g_assert_true (rt_cat_service (cat, "s")->engine);
  g_assert_cmpuint (rt_cat_service (cat, "s")->stride, ==, 4);
  g_assert_false (rt_cat_service (cat, "t")->engine);
  g_assert_cmpint (rt_cat_limits (cat)->idle_us, ==, 400 * FT_MS);
  const RtOrg *org = rt_cat_org_by_key (cat, "l");
  g_assert_true (org->by_tokens && org->has_tier);
  g_assert_cmpfloat (org->rate, ==, 1000);
  unsigned first = 0;
  for (uint64_t draw = 0; draw < 100000; draw++)
    first += strcmp (rt_route_target (route, draw), "s") == 0;
  g_assert_cmpuint (first, ==, 90000);
  rt_cat_unref (cat);
}

/* ---- Requests ---- */

/* A caller sets fields that only the scheduler may set, and hop-by-hop fields. None of them reaches
 * the server, nor does the key of the caller; the scheduler's own values do. */
/* Guards against numbers of callers that become others, such as a size of 2^32 tokens that costs
 * nothing of a cap. */
static void
numbers_of_callers (void)
{
  static const struct
  {
    const char *tokens, *wait;
    bool stated;
    unsigned prompt, output;
    int64_t wait_ms;
  } cases[] = { { "1460,80", "1500", true, 1460, 80, 1500 },
                { " 1460, 80", " 1500", true, 1460, 80, 1500 },
                { "4294967296,1", "9223372036854775807", true, 1000000000, 1, 86400000 },
                { "4294967295,1", "18446744073709551616", true, 1000000000, 1, 86400000 },
                { "99999999999999999999999,99999999999999999999999", "9223372036854776", true,
                  1000000000, 1000000000, 86400000 },
                { "-1,5", "-1", false, 0, 0, 0 },
                { "1,-5", "x", true, 1, 0, 0 },
                { "1", "", false, 1, 0, 0 } };

  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *text = g_strdup_printf ("GET / HTTP/1.1\r\nX-Foxtailgrade-Token-Usage: %s\r\n"
                                    "X-Foxtailgrade-Deadline-Ms: %s\r\n\r\n",
                                    cases[i].tokens, cases[i].wait);
      GString *body = g_string_new (NULL);
      HReader *read = read_message (true, text, body);
      AdapterRequest facts;
      platform_adapter_ops ()->read_request (last_head, &facts);
      g_assert_cmpint (facts.has_tokens, ==, cases[i].stated);
      g_assert_cmpuint (facts.prompt_tokens, ==, cases[i].prompt);
      g_assert_cmpuint (facts.output_max, ==, cases[i].output);
      g_assert_cmpint (facts.caller_wait_us, ==, cases[i].wait_ms * FT_MS);
      g_assert_cmpuint (facts.prompt_tokens + facts.output_max, >=, facts.prompt_tokens);
      hread_free (read);
      g_string_free (body, TRUE);
      g_free (text);
    }
}

static void
forwarded_request (void)
{
  static const char *const hidden[] = { "secret",
                                        "X-Foxtailgrade-Hold",
                                        "X-Foxtailgrade-Pin-Ms",
                                        "X-Foxtailgrade-Kv-Backup",
                                        "Kv-From",
                                        "Kv-Fetch",
                                        "evil",
                                        "Transfer-Encoding",
                                        "Keep-Alive",
                                        "X-Local",
                                        "99999",
                                        "X-Foxtailgrade-Expect-Version",
                                        "Upgrade" };
  GString *body = g_string_new (NULL), *out = g_string_new (NULL);
  HReader *read = read_message (
      true,
      "POST /x/y?q=1 HTTP/1.1\r\nHost: h\r\nAuthorization: Token secret\r\n"
      "X-Foxtailgrade-Request-Id: id1\r\nX-Foxtailgrade-Tenant: evil\r\n"
      "X-Foxtailgrade-Expect-Instance: evil\r\nX-Foxtailgrade-Hold: h\r\n"
      "X-Foxtailgrade-Pin-Ms: 1\r\nX-Foxtailgrade-Kv-Backup: b\r\nKv-From: f\r\nKv-Fetch: g\r\n"
      "X-Foxtailgrade-Expect-Version: 3\r\nX-Foxtailgrade-Deadline-Ms: 99999\r\n"
      "X-Foxtailgrade-Token-Usage: 1460,80\r\nX-Foxtailgrade-Length-Hint: 33\r\n"
      "X-Foxtailgrade-Prefix-Hash: 5c1e07a2:800,91bd3f06:410\r\n"
      "Connection: keep-alive, X-Local\r\nX-Local: 1\r\nKeep-Alive: timeout=3\r\nX-Other: kept\r\n"
      "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
      body);
  const AdapterOps *adapter_ops = platform_adapter_ops ();
  AdapterRequest facts;
  AdapterForward forward = { .server = "i-1",
                             .org = "org1",
                             .left_us = 1500 * FT_MS,
                             .body = body->str,
                             .body_size = body->len };

  adapter_ops->read_request (last_head, &facts);
  g_assert_cmpstr (facts.id, ==, "id1");
  g_assert_cmpstr (facts.key, ==, "secret");
  g_assert_cmpint (facts.caller_wait_us, ==, 99999 * FT_MS);
  g_assert_true (facts.has_tokens);
  g_assert_cmpuint (facts.prompt_tokens, ==, 1460);
  g_assert_cmpuint (facts.output_max, ==, 80);
  g_assert_cmpuint (facts.output_estimate, ==, 33);
  g_assert_cmpuint (facts.shared_part, ==, 0x5c1e07a2);
  adapter_ops->write_request (out, last_head, &forward);
  for (unsigned i = 0; i < G_N_ELEMENTS (hidden); i++)
    if (strstr (out->str, hidden[i]))
      g_error ("%s reaches the server: %s", hidden[i], out->str);
  for (const char **sent
       = (const char *[]){ "POST /x/y?q=1 HTTP/1.1\r\n", "X-Foxtailgrade-Request-Id: id1\r\n",
                           "X-Foxtailgrade-Tenant: org1\r\n", "X-Other: kept\r\n",
                           "X-Foxtailgrade-Expect-Instance: i-1\r\n", "Content-Length: 3\r\n",
                           "X-Foxtailgrade-Deadline-Ms: 1500\r\n",
                           "X-Foxtailgrade-Token-Usage: 1460,80\r\n", "\r\n\r\nabc", NULL };
       *sent; sent++)
    if (strstr (out->str, *sent) == NULL)
      g_error ("%s does not reach the server: %s", *sent, out->str);
  /* Without an organisation the caller's word for it is dropped all the same. */
  forward.org = NULL;
  g_string_truncate (out, 0);
  adapter_ops->write_request (out, last_head, &forward);
  g_assert_null (strstr (out->str, "X-Foxtailgrade-Tenant"));
  hread_free (read);
  g_string_free (body, TRUE);
  g_string_free (out, TRUE);
}

static void
answers (void)
{
  GString *body = g_string_new (NULL), *out = g_string_new (NULL);
  HReader *read = read_message (false,
                                "HTTP/1.1 503 Busy\r\nX-Foxtailgrade-Request-Id: id1\r\n"
                                "X-Foxtailgrade-Not-Executed: 1\r\nContent-Length: 0\r\n"
                                "X-Foxtailgrade-Server-Signature: sig\r\nKeep-Alive: timeout=3\r\n"
                                "X-Foxtailgrade-Instance-Load: 3,1,8\r\n\r\n",
                                body);
  AdapterAnswer answer;

  platform_adapter_ops ()->read_answer (last_head, &answer);
  g_assert_true (answer.not_run && answer.has_load);
  g_assert_cmpstr (answer.id, ==, "id1");
  g_assert_cmpuint (answer.running, ==, 3);
  g_assert_cmpuint (answer.slots, ==, 8);
  g_assert_cmpuint (answer.slowness, ==, 0);
  platform_adapter_ops ()->write_answer (out, last_head);
  g_assert_nonnull (strstr (out->str, "X-Foxtailgrade-Server-Signature: sig\r\n"));
  g_assert_null (strstr (out->str, "Keep-Alive"));
  g_assert_null (strstr (out->str, "Content-Length"));
  hread_free (read);
  read = read_message (false, "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n", body);
  platform_adapter_ops ()->read_answer (last_head, &answer);
  g_assert_true (answer.not_run);
  hread_free (read);
  read = read_message (false,
                       "HTTP/1.1 200 OK\r\nX-Foxtailgrade-Request-Id: id1\r\nContent-Length: 0\r\n"
                       "X-Foxtailgrade-Instance-Load: 3,1,8,140\r\n\r\n",
                       body);
  platform_adapter_ops ()->read_answer (last_head, &answer);
  g_assert_true (answer.has_load);
  g_assert_cmpuint (answer.slots, ==, 8);
  g_assert_cmpuint (answer.slowness, ==, 140);
  hread_free (read);
  g_string_free (body, TRUE);
  g_string_free (out, TRUE);
}

/* Values that cannot be parsed or are out of range get a safe default or the nearest bound; those
 * that cannot be parsed are reported. */
static void
notices (void)
{
  static const struct
  {
    const char *fields;
    double rate;
    bool leaving;
    int64_t backoff_us;
    const char *unread;
  } cases[] = {
    { "", 0, false, 0, NULL },
    { "Server-Limit: 1.6\r\n", 1.6, false, 0, NULL },
    { "Server-Limit: 20\r\nServer-Limit: 3\r\n", 3, false, 0, NULL },
    { "Server-Limit: 0\r\n", NOTICE_RATE_MIN, false, 0, NULL },
    { "Server-Limit: 99999999999999999999\r\n", NOTICE_RATE_MAX, false, 0, NULL },
    { "Server-Limit: \r\n", 0, false, 0, "" },
    { "Server-Limit: -2\r\n", 0, false, 0, "-2" },
    { "Server-Limit: nan\r\n", 0, false, 0, "nan" },
    { "Server-Limit: 0x10\r\n", 0, false, 0, "0x10" },
    { "Server-Limit: 2, 3\r\n", 0, false, 0, "2, 3" },
    { "Server-Limit: many\r\nServer-Limit: 4\r\n", 4, false, 0, "many" },
    { "Server-Leaving: 1\r\n", 0, true, 0, NULL },
    { "Server-Leaving: 0\r\n", 0, false, 0, NULL },
    { "Server-Leaving: soon\r\n", 0, false, 0, "soon" },
    { "Retry-After: 3\r\n", 0, false, 3 * FT_SECOND, NULL },
    { "Retry-After: 0.25\r\n", 0, false, 250 * FT_MS, NULL },
    { "Retry-After: 1\r\nRetry-After: 2\r\n", 0, false, 2 * FT_SECOND, NULL },
    { "Retry-After: 0\r\n", 0, false, 0, NULL },
    { "Retry-After: 9999999999\r\n", 0, false, NOTICE_BACKOFF_MAX, NULL },
    { "Retry-After: -1\r\n", 0, false, NOTICE_BACKOFF_DEFAULT, "-1" },
    { "Retry-After: Fri, 31 Dec 1999 23:59:59 GMT\r\n", 0, false, NOTICE_BACKOFF_DEFAULT,
      "Fri, 31 Dec 1999 23:59:59 GMT" },
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      GString *body = g_string_new (NULL);
      char *text
          = g_strdup_printf ("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n%s\r\n", cases[i].fields);
      HReader *read = read_message (false, text, body);
      AdapterAnswer answer;

      platform_adapter_ops ()->read_answer (last_head, &answer);
      g_assert_cmpfloat_with_epsilon (answer.notice.rate, cases[i].rate, 1e-9);
      g_assert_cmpint (answer.notice.leaving, ==, cases[i].leaving);
      g_assert_cmpint (answer.notice.backoff_us, ==, cases[i].backoff_us);
      g_assert_cmpstr (answer.unread, ==, cases[i].unread);
      g_string_truncate (body, 0);
      platform_adapter_ops ()->write_answer (body, last_head);
      g_assert_nonnull (strstr (body->str, cases[i].fields)); /* passed on unchanged */
      hread_free (read);
      g_string_free (body, TRUE);
      g_free (text);
    }
}

/* How many rejections a server bears: the lowest of several fields, bounded. */
static void
brittleness (void)
{
  static const struct
  {
    const char *fields;
    double brittleness;
    const char *unread;
  } cases[] = {
    { "", 0, NULL },
    { "Server-Brittle: 4\r\n", 4, NULL },
    { "Server-Brittle: 2.5\r\nServer-Limit: 3\r\n", 2.5, NULL },
    { "Server-Brittle: 9\r\nServer-Brittle: 2\r\n", 2, NULL },
    { "Server-Brittle: 0\r\n", NOTICE_BRITTLENESS_MIN, NULL },
    { "Server-Brittle: 99999999999999999999\r\n", NOTICE_BRITTLENESS_MAX, NULL },
    { "Server-Brittle: \r\n", 0, "" },
    { "Server-Brittle: -2\r\n", 0, "-2" },
    { "Server-Brittle: 1e3\r\n", 0, "1e3" },
    { "Server-Brittle: yes\r\n", 0, "yes" },
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      GString *body = g_string_new (NULL);
      char *text
          = g_strdup_printf ("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n%s\r\n", cases[i].fields);
      HReader *read = read_message (false, text, body);
      AdapterAnswer answer;

      platform_adapter_ops ()->read_answer (last_head, &answer);
      g_assert_cmpfloat_with_epsilon (answer.notice.brittleness, cases[i].brittleness, 1e-9);
      g_assert_cmpstr (answer.unread, ==, cases[i].unread);
      hread_free (read);
      g_string_free (body, TRUE);
      g_free (text);
    }
}

/* Retry-After in an answer that is no refusal is meant for the caller only. */
static void
advice_for_callers (void)
{
  GString *body = g_string_new (NULL);
  HReader *read = read_message (
      false, "HTTP/1.1 301 Moved\r\nContent-Length: 0\r\nRetry-After: 9\r\n\r\n", body);
  AdapterAnswer answer;

  platform_adapter_ops ()->read_answer (last_head, &answer);
  g_assert_true (notice_is_empty (&answer.notice));
  hread_free (read);
  g_string_free (body, TRUE);
}

/* ---- The list of servers ---- */

/* A page with this invalid entry between two valid ones yields these two and an error that names
 * the field. */
static void
check_invalid_entry (const char *entry, const char *field)
{
  static const char valid_entry[] = "{\"Service\":\"s\",\"Address\":\"10.0.0.9:%d\",\"Zone\":\"z\","
                                    "\"Version\":\"v1\",\"Slots\":5,\"State\":\"ready\","
                                    "\"ColdRemainingMs\":0,\"Id\":\"sound-%d\"}";
  GArray *servers = g_array_new (FALSE, TRUE, sizeof (AdapterServer));
  GString *page = g_string_new ("{\"Instances\":[");
  unsigned invalid_count = 0;
  char *next;
  FtError error;

  g_string_append_printf (page, valid_entry, 1, 1);
  g_string_append_printf (page, ",%s,", entry);
  g_string_append_printf (page, valid_entry, 2, 2);
  g_string_append (page, "],\"Next\":null}");
  g_array_set_clear_func (servers, adapter_server_clear);
  g_assert_cmpint (
      platform_read_list (page->str, page->len, servers, &next, &invalid_count, &error), ==, FT_OK);
  g_test_message ("%s: %s", entry, error.text);
  g_assert_cmpuint (invalid_count, ==, 1);
  g_assert_nonnull (strstr (error.text, field));
  g_assert_cmpuint (servers->len, ==, 2);
  g_assert_cmpstr (g_array_index (servers, AdapterServer, 0).id, ==, "sound-1");
  g_assert_cmpstr (g_array_index (servers, AdapterServer, 1).id, ==, "sound-2");
  g_array_unref (servers);
  g_string_free (page, TRUE);
}

static void
list_pages (void)
{
  const char *text
      = "{\"Instances\":[{\"Service\":\"s\",\"Address\":\"10.0.0.9:8080\",\"Zone\":"
        "\"z\",\"Version\":\"v1\",\"Slots\":5,\"State\":\"draining\",\"ColdRemainingMs\":20,\"Id\":"
        "\"i-1\"}],\"Next\":\"p-50\"}";
  GArray *servers = g_array_new (FALSE, TRUE, sizeof (AdapterServer));
  GString *request = g_string_new (NULL);
  unsigned invalid_count = 0;
  char *next;
  FtError error;

  g_array_set_clear_func (servers, adapter_server_clear);
  g_assert_cmpint (platform_read_list (text, strlen (text), servers, &next, &invalid_count, &error),
                   ==, FT_OK);
  g_assert_cmpuint (invalid_count, ==, 0);
  const AdapterServer *server = &g_array_index (servers, AdapterServer, 0);
  g_assert_true (server->leaving);
  g_assert_cmpuint (server->addr.port, ==, 8080);
  g_assert_cmpint (server->cold_us, ==, 20 * FT_MS);
  platform_write_list_request (request, server->addr, next);
  g_assert_nonnull (strstr (request->str, "GET /instances?PageToken=p-50 HTTP/1.1\r\n"));
  g_free (next);
  g_assert_cmpint (platform_read_list ("{", 1, servers, &next, &invalid_count, &error), ==,
                   FT_INVALID);
  g_assert_cmpint (
      platform_read_list ("{\"Instances\":{}}", 16, servers, &next, &invalid_count, &error), ==,
      FT_INVALID);
  g_array_unref (servers);
  g_string_free (request, TRUE);
}

/* Guards against invalid entries of the list: a field is missing, of another type or out of range.
 * An entry that is used anyway sends requests to a wrong address; rejecting the whole page hides
 * all other servers from callers until the entry is gone. Only the invalid entry is skipped. */
static void
list_invalid_entries (void)
{
  static const struct
  {
    const char *field;
    const char *values[8]; /* invalid values; "": the field is missing */
  } cases[] = {
    { "Id", { "", "7", "null", "\"\"", "[\"i-1\"]", "\"i\\u0000\"" } },
    { "Service", { "", "true", "null", "\"\"", "{}" } },
    { "Zone", { "", "1", "null", "\"\"" } },
    { "Address", { "", "8080", "\"nowhere\"", "\"10.0.0.9\"", "\"10.0.0.9:99999\"", "null" } },
    { "Version", { "", "1", "null" } },
    { "Slots", { "", "\"5\"", "5.5", "0", "-3", "99999999999999999999", "true" } },
    { "ColdRemainingMs", { "", "\"0\"", "-1", "0.5", "null", "9e99" } },
    { "State", { "", "3", "null", "\"starting\"", "\"READY\"", "\"\"" } },
    { "born", { "\"1781680555014\"", "1781680555014.5", "-1", "true", "null", "0" } },
  };
  static const char *const valid_entry[][2] = {
    { "Id", "\"i-1\"" },         { "Service", "\"s\"" },
    { "Zone", "\"z\"" },         { "Address", "\"10.0.0.9:8080\"" },
    { "Version", "\"v1\"" },     { "Slots", "5" },
    { "ColdRemainingMs", "0" },  { "State", "\"ready\"" },
    { "born", "1781680555014" },
  };
  const char *const entries[] = { "7", "null", "\"i-1\"", "[]", "{}" };

  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    for (unsigned j = 0; cases[i].values[j]; j++)
      {
        GString *entry = g_string_new ("{");
        for (unsigned k = 0; k < G_N_ELEMENTS (valid_entry); k++)
          {
            bool this_one = strcmp (valid_entry[k][0], cases[i].field) == 0;
            const char *value = this_one ? cases[i].values[j] : valid_entry[k][1];
            if (*value)
              g_string_append_printf (entry, "%s\"%s\":%s", entry->len > 1 ? "," : "",
                                      valid_entry[k][0], value);
          }
        g_string_append (entry, "}");
        check_invalid_entry (entry->str, cases[i].field);
        g_string_free (entry, TRUE);
      }
  for (unsigned i = 0; i < G_N_ELEMENTS (entries); i++)
    check_invalid_entry (entries[i], "Id");
}

/* ---- Compressed catalogues and settings ---- */

static void
compressed_catalogues (void)
{
  GString *text = g_string_new (NULL);

  for (int i = 0; i < 2000; i++)
    g_string_append_printf (text, "{\"Name\":\"route-%d\",\"Host\":\"a.example\"},", i);
  GBytes *packed = compress_pack (text->str, text->len);
  gsize size = g_bytes_get_size (packed);
  g_assert_cmpuint (size * 4, <, text->len);
  GBytes *back = compress_unpack (g_bytes_get_data (packed, NULL), size);
  g_assert_cmpmem (g_bytes_get_data (back, NULL), g_bytes_get_size (back), text->str, text->len);
  for (gsize cut = 0; cut < size; cut += 7)
    g_assert_null (compress_unpack (g_bytes_get_data (packed, NULL), cut));
  g_bytes_unref (packed);
  g_bytes_unref (back);
  g_string_free (text, TRUE);
}

/* Guards against instances that do not start because a bound in their settings is not a whole
 * number, as in a scaled-down deployment. */
static void
fractional_bounds (void)
{
  static const char text[]
      = "{\"name\":\"n\",\"role\":\"entry\",\"ip\":\"10.0.0.1\",\"domain\":\"z\","
        "\"callers\":\"10.0.0.1:80\",\"ready\":\"10.0.0.1:81\",\"link_port\":82,"
        "\"seeds\":[],\"list\":\"10.0.0.2:80\",\"grace_s\":8.0,\"budget_slack\":%s}";
  char *path = g_build_filename (g_get_tmp_dir (), "adapter-XXXXXX", NULL);
  Settings *settings = NULL;
  FtError error = { 0 };

  close (g_mkstemp (path));
  char *valid = g_strdup_printf (text, "17.55"), *invalid = g_strdup_printf (text, "\"many\"");
  g_assert_true (g_file_set_contents (path, valid, -1, NULL));
  if (settings_read (path, &settings, &error) != FT_OK)
    g_error ("%s: %s", error.field, error.text);
  g_assert_cmpint (settings->budget_slack, ==, 17);
  g_assert_cmpint (settings->grace_s, ==, 8);
  settings_free (settings);
  g_assert_true (g_file_set_contents (path, invalid, -1, NULL));
  g_assert_cmpint (settings_read (path, &settings, &error), ==, FT_INVALID);
  g_assert_cmpstr (error.field, ==, "budget_slack");
  g_unlink (path);
  g_free (valid);
  g_free (invalid);
  g_free (path);
}

static FtStatus
parse_settings_with (const char *fields, Settings **settings, FtError *error)
{
  char *text
      = g_strdup_printf ("{\"name\":\"n\",\"role\":\"entry\",\"ip\":\"10.0.0.1\",\"domain\":\"z\","
                         "\"callers\":\"10.0.0.1:80\",\"ready\":\"10.0.0.1:81\",\"link_port\":82,"
                         "\"seeds\":[],\"list\":\"10.0.0.2:80\"%s}",
                         fields);
  FtStatus status = settings_parse (text, settings, error);

  g_free (text);
  return status;
}

/* An invalid value of a load setting must be rejected with the name of its field. Without these
 * settings, their features are off. */
static void
load_settings (void)
{
  static const char *const invalid[][2] = { { ",\"return_part\":\"1.5\"", "return_part" },
                                            { ",\"return_part\":\"half\"", "return_part" },
                                            { ",\"return_place_part\":\"2\"", "return_place_part" },
                                            { ",\"handover_wait_ms\":5001", "handover_wait_ms" },
                                            { ",\"handover_wait_ms\":-1", "handover_wait_ms" },
                                            { ",\"fair_shares\":\"yes\"", "fair_shares" } };
  Settings *settings = NULL;
  FtError error = { 0 };

  g_assert_cmpint (parse_settings_with ("", &settings, &error), ==, FT_OK);
  g_assert_cmpint (settings->handover_wait_ms, ==, 0);
  g_assert_cmpfloat (settings->return_part, ==, 0);
  g_assert_false (settings->fair_shares);
  settings_free (settings);
  for (unsigned i = 0; i < G_N_ELEMENTS (invalid); i++)
    {
      g_assert_cmpint (parse_settings_with (invalid[i][0], &settings, &error), ==, FT_INVALID);
      g_assert_cmpstr (error.field, ==, invalid[i][1]);
    }
}

/* Parts are the same however a caller spells them, a spoilt entry does not hide the others, and the
 * last part, which is the request's own, is no shared one. */
static void
parts_of_prompt (void)
{
  static const struct
  {
    const char *fields;
    unsigned count;
    uint64_t parts[4];
  } cases[] = {
    { "", 0, { 0 } },
    { "X-Foxtailgrade-Prefix-Hash: \r\n", 0, { 0 } },
    { "X-Foxtailgrade-Prefix-Hash: 5c1e07a2:800\r\n", 0, { 0 } },
    { "X-Foxtailgrade-Prefix-Hash: 5c1e07a2:800,91bd3f06:410\r\n", 1, { 0x5c1e07a2 } },
    { "X-Foxtailgrade-Prefix-Hash: 005C1E07A2:1, 91bd3f06:2,1:1\r\n",
      2,
      { 0x5c1e07a2, 0x91bd3f06 } },
    { "X-Foxtailgrade-Prefix-Hash: zz:1,7:x,8x:3,,9:1,a\r\n", 2, { 7, 9 } },
    { "X-Foxtailgrade-Prefix-Hash: 7:1\r\nX-Foxtailgrade-Prefix-Hash: 8:1,9:1\r\n", 2, { 7, 8 } },
    { "X-Foxtailgrade-Prefix-Hash: 1:1,2:1,3:1,4:1,5:1,6:1\r\n", 4, { 1, 2, 3, 4 } },
  };
  const AdapterOps *adapter_ops = platform_adapter_ops ();

  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *text = g_strdup_printf ("GET /x HTTP/1.1\r\nHost: h\r\n%s\r\n", cases[i].fields);
      GString *body = g_string_new (NULL);
      HReader *read = read_message (true, text, body);
      uint64_t parts[4];
      g_assert_cmpuint (adapter_ops->read_parts (last_head, parts, G_N_ELEMENTS (parts)), ==,
                        cases[i].count);
      for (unsigned j = 0; j < cases[i].count; j++)
        g_assert_cmphex (parts[j], ==, cases[i].parts[j]);
      hread_free (read);
      g_string_free (body, TRUE);
      g_free (text);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/adapter/invalid", invalid_catalogues);
  g_test_add_func ("/adapter/versions", versions);
  g_test_add_func ("/adapter/members", members);
  g_test_add_func ("/adapter/truncated", truncated_catalogues);
  g_test_add_func ("/adapter/good", valid_catalogue);
  g_test_add_func ("/adapter/numbers_of_callers", numbers_of_callers);
  g_test_add_func ("/adapter/forward", forwarded_request);
  g_test_add_func ("/adapter/parts", parts_of_prompt);
  g_test_add_func ("/adapter/answers", answers);
  g_test_add_func ("/adapter/notices", notices);
  g_test_add_func ("/adapter/brittleness", brittleness);
  g_test_add_func ("/adapter/advice_for_callers", advice_for_callers);
  g_test_add_func ("/adapter/list", list_pages);
  g_test_add_func ("/adapter/list_spoilt", list_invalid_entries);
  g_test_add_func ("/adapter/fractions", fractional_bounds);
  g_test_add_func ("/adapter/settings_for_load", load_settings);
  g_test_add_func ("/adapter/packed", compressed_catalogues);
  return g_test_run ();
}
