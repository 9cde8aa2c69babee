/* torture.c - a seeded random test of everything that must survive.
 *
 * Operators race, resend and lose answers; instances crash, restart, freeze and lose their disks;
 * links are cut one way or both; voters' messages are lost, doubled and reordered; clocks differ in
 * rate. After every step it is checked that
 *
 *   accepted   an accepted change has one text for ever, and no instance ever goes back
 *   verdict    one change id has one verdict
 *   holder     two instances never hold one pool's valid lease at a time
 *   claim      a key is granted to one request only
 *   in force   a change that was reported in force is in force at every instance that takes
 * requests
 *
 * Usage: torture [SCHEDULES [SEED]]. A failure prints the seed, and the seed repeats it.
 */
#include "sim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define INSTANCES 5
#define STEPS     60
#define CHANGES   400
#define KEYS      40
#ifndef SCHEDULES
#define SCHEDULES 300
#endif

typedef struct
{
  char id[32];
  uint64_t revision; /* accepted as; 0: not known to be accepted */
  bool refused;
  uint64_t base;
  char *text;
} Change;

typedef struct
{
  unsigned instance, life;
  uint64_t number;
  int change, key;
  unsigned claimer;
} Asked;

typedef struct
{
  Change changes[CHANGES];
  unsigned change_count;
  char *accepted[CHANGES + 1];     /* text by revision */
  uint64_t highest[INSTANCES + 1]; /* revision seen at an instance in its life */
  unsigned seen_life[INSTANCES + 1];
  char owner[KEYS][32]; /* request that a key was granted to */
  unsigned claims;
  GArray *asked;
  uint64_t seed, in_force, next_question;
  unsigned accepted_count, granted_count;
  GHashTable *force_questions; /* "instance/number" -> revision */
} World;

static void
fail (World *world, Sim *sim, const char *text)
{
  printf ("# seed %" G_GUINT64_FORMAT " at %.3f s: %s\n", world->seed,
          (double) sim_now (sim) / FT_SECOND, text);
  printf ("Bail out! run: torture 1 %" G_GUINT64_FORMAT "\n", world->seed);
  exit (1);
}

static char *
catalogue_text (unsigned number)
{
  return g_strdup_printf (
      "{\"organisations\":[{\"name\":\"o\",\"owner\":\"w\",\"class\":\"c\",\"key_sha256\":"
      "\"%064u\",\"limits\":{}}],\"classes\":[{\"name\":\"c\",\"owner\":\"w\",\"tier\":1,"
      "\"limits\":{}}],\"pools\":[{\"name\":\"p\",\"owner\":\"w\",\"class\":\"c\",\"kind\":"
      "\"model\",\"model\":\"m\",\"limits\":{}},{\"name\":\"q\",\"owner\":\"w\",\"class\":\"c\","
      "\"kind\":\"model\",\"model\":\"n\",\"limits\":{}}]}",
      number);
}

/* ---- What nodes say ---- */

static Asked *
find_asked (World *world, Sim *sim, unsigned instance, uint64_t number)
{
  for (unsigned i = 0; i < world->asked->len; i++)
    {
      Asked *asked = &g_array_index (world->asked, Asked, i);
      if (asked->instance == instance && asked->number == number
          && asked->life == sim_start_count (sim, instance))
        return asked;
    }
  return NULL;
}

static void
judge_change (World *world, Sim *sim, Change *change, FtStatus status, uint64_t revision)
{
  if (status == FT_OK)
    {
      if (change->refused || (change->revision && change->revision != revision))
        fail (world, sim, "verdict: one change id got two verdicts");
      if (revision != change->base + 1)
        fail (world, sim, "accepted: a change made against another revision");
      if (world->accepted[revision] && strcmp (world->accepted[revision], change->text) != 0)
        fail (world, sim, "accepted: two changes became one revision");
      world->accepted_count += change->revision == 0;
      change->revision = revision;
      world->accepted[revision] = change->text;
    }
  else if (status == FT_CONFLICT)
    {
      if (change->revision)
        fail (world, sim, "verdict: an accepted change was refused later");
      change->refused = true;
    }
}

static void
on_verdict (Sim *sim, unsigned instance, uint64_t number, FtStatus status, uint64_t revision,
            const char *text)
{
  World *world = sim_user (sim);
  Asked *asked = find_asked (world, sim, instance, number);

  if (asked == NULL)
    return;
  if (asked->change >= 0)
    judge_change (world, sim, &world->changes[asked->change], status, revision);
  else if (asked->key >= 0 && status == FT_OK)
    {
      char request[32];
      g_snprintf (request, sizeof request, "claim-%u", asked->claimer);
      if (strcmp (text, request) != 0)
        fail (world, sim, "claim: granted in another request's name");
      if (*world->owner[asked->key] && strcmp (world->owner[asked->key], request) != 0)
        fail (world, sim, "claim: one key was granted twice");
      g_strlcpy (world->owner[asked->key], request, 32);
      world->granted_count++;
    }
}

static void
on_catalogue (Sim *sim, unsigned instance, FtCat *cat)
{
  World *world = sim_user (sim);
  uint64_t revision = ft_cat_revision (cat);

  if (world->seen_life[instance] != sim_start_count (sim, instance))
    {
      world->seen_life[instance] = sim_start_count (sim, instance);
      world->highest[instance] = 0;
    }
  if (revision <= world->highest[instance])
    fail (world, sim, "accepted: an instance went back to an older catalogue");
  world->highest[instance] = revision;
  if (world->accepted[revision] == NULL)
    {
      /* Its operator may not have heard yet; the text itself says which change it was. */
      for (unsigned i = 0; i < world->change_count; i++)
        if (world->changes[i].base + 1 == revision
            && strcmp (world->changes[i].text, ft_cat_text (cat)) == 0)
          world->accepted[revision] = world->changes[i].text;
    }
  if (world->accepted[revision] == NULL
      || strcmp (world->accepted[revision], ft_cat_text (cat)) != 0)
    fail (world, sim, "accepted: an instance has a catalogue that was never accepted");
}

static void
on_found (Sim *sim, unsigned instance, uint64_t number, FtStatus status, const char *body,
          size_t size)
{
  World *world = sim_user (sim);
  char key[64];

  g_snprintf (key, sizeof key, "%u/%u/%" G_GUINT64_FORMAT, instance,
              sim_start_count (sim, instance), number);
  uint64_t *revision = g_hash_table_lookup (world->force_questions, key);
  if (revision && status == FT_OK && g_strstr_len (body, (gssize) size, "\"in_force\":true"))
    world->in_force = MAX (world->in_force, *revision);
}

static const SimOps ops = { .verdict = on_verdict, .catalogue = on_catalogue, .found = on_found };

/* ---- What is checked after every step ---- */

static void
check (World *world, Sim *sim)
{
  unsigned holders[2] = { 0, 0 };
  static const char *const pools[] = { "p", "q" };

  for (unsigned i = 1; i <= INSTANCES; i++)
    {
      FtNode *node = sim_node (sim, i);
      if (node == NULL || sim_is_frozen (sim, i))
        continue;
      FtCat *cat = ft_node_catalogue (node);
      if (ft_node_is_fresh (node) && ft_cat_revision (cat) < world->in_force)
        fail (world, sim, "in force: an instance takes requests under an older catalogue");
      /* A holder whose lease is not proved is held back by its own clock. */
      for (unsigned p = 0; p < 2; p++)
        holders[p] += ft_node_holds_lease (node, pools[p]);
    }
  if (holders[0] > 1 || holders[1] > 1)
    fail (world, sim, "holder: two instances hold one pool's lease");
}

/* ---- What happens ---- */

static unsigned
pick (Sim *sim, unsigned below)
{
  return (unsigned) (sim_random (sim) % below);
}

static unsigned
pick_alive (Sim *sim)
{
  for (unsigned tries = 0; tries < 50; tries++)
    {
      unsigned i = 1 + pick (sim, INSTANCES);
      if (sim_node (sim, i) && !sim_is_frozen (sim, i))
        return i;
    }
  return 0;
}

static void
send_change (World *world, Sim *sim, unsigned at, unsigned index)
{
  Change *change = &world->changes[index];
  Asked asked = { at, sim_start_count (sim, at), 0, (int) index, -1, 0 };

  asked.number = ft_node_propose_catalogue (sim_node (sim, at), change->id, "operator",
                                            change->base, change->text, 1);
  g_array_append_val (world->asked, asked);
  sim_flush (sim, at);
}

static void
make_change (World *world, Sim *sim)
{
  unsigned at = pick_alive (sim);

  if (at == 0 || world->change_count == CHANGES)
    return;
  FtCat *cat = ft_node_catalogue (sim_node (sim, at));
  unsigned index = world->change_count++;
  Change *change = &world->changes[index];
  g_snprintf (change->id, sizeof change->id, "change-%u", index);
  change->base = cat ? ft_cat_revision (cat) : 0;
  change->text = catalogue_text (index);
  send_change (world, sim, at, index);
}

static void
resend_change (World *world, Sim *sim)
{
  unsigned at = pick_alive (sim);

  if (at && world->change_count)
    send_change (world, sim, at, pick (sim, world->change_count));
}

static void
make_claim (World *world, Sim *sim)
{
  unsigned at = pick_alive (sim), key = pick (sim, KEYS);
  char name[32], request[32];

  if (at == 0)
    return;
  Asked asked = { at, sim_start_count (sim, at), 0, -1, (int) key, world->claims++ };
  g_snprintf (name, sizeof name, "key-%u", key);
  g_snprintf (request, sizeof request, "claim-%u", asked.claimer);
  asked.number = ft_node_claim (sim_node (sim, at), name, "digest", request, 1);
  g_array_append_val (world->asked, asked);
  sim_flush (sim, at);
}

static void
ask_in_force (World *world, Sim *sim)
{
  unsigned at = pick_alive (sim);
  char text[32];

  FtCat *cat = at ? ft_node_catalogue (sim_node (sim, at)) : NULL;
  if (cat == NULL)
    return;
  uint64_t revision = ft_cat_revision (cat);
  g_snprintf (text, sizeof text, "%" G_GUINT64_FORMAT, revision);
  uint64_t number = ft_node_query (sim_node (sim, at), FT_QUERY_IN_FORCE, text);
  g_hash_table_replace (
      world->force_questions,
      g_strdup_printf ("%u/%u/%" G_GUINT64_FORMAT, at, sim_start_count (sim, at), number),
      g_memdup2 (&revision, sizeof revision));
  sim_flush (sim, at);
}

/* A voter may lose its disk only while the others are whole: two lost of three is the end of any
 * majority, which no rule can mend. */
static bool
voters_settled (Sim *sim)
{
  for (unsigned i = 1; i <= 3; i++)
    {
      FtNodeStatus status;
      if (sim_node (sim, i) == NULL)
        return false;
      ft_node_status (sim_node (sim, i), &status);
      if (!status.member || status.broken)
        return false;
    }
  return true;
}

/* What was accepted last is on two voters; one of them loses its disk right when the other dies.
 * The third, which lags, and the blank one must not go on as if they were a majority that
 * remembers. */
static void
lose_two (World *world, Sim *sim)
{
  unsigned lagging = 1 + pick (sim, 3);

  if (!voters_settled (sim))
    return;
  for (unsigned k = 1; k <= INSTANCES; k++)
    if (k != lagging)
      {
        sim_set_link_cut (sim, lagging, k, true);
        sim_set_link_cut (sim, k, lagging, true);
      }
  for (unsigned i = 0; i < 4; i++)
    {
      make_change (world, sim);
      sim_run (sim, sim_now (sim) + FT_SECOND);
    }
  unsigned wiped = 1 + lagging % 3, dead = 1 + wiped % 3;
  sim_kill (sim, dead);
  sim_kill (sim, wiped);
  sim_wipe_disk (sim, wiped);
  sim_restart (sim, wiped);
  sim_heal_links (sim);
  sim_run (sim, sim_now (sim) + 4 * FT_SECOND);
}

static void
fault (World *world, Sim *sim)
{
  unsigned i = 1 + pick (sim, INSTANCES), j = 1 + pick (sim, INSTANCES);

  switch (pick (sim, 9))
    {
    case 0:
    case 1:
      sim_kill (sim, i);
      break;
    case 2:
      if (voters_settled (sim))
        {
          i = 1 + pick (sim, 3);
          sim_kill (sim, i);
          sim_wipe_disk (sim, i);
          sim_restart (sim, i);
        }
      break;
    case 3:
      sim_freeze (sim, i, true);
      break;
    case 4:
      for (unsigned k = 1; k <= INSTANCES; k++)
        if (k != i)
          {
            sim_set_link_cut (sim, i, k, true);
            sim_set_link_cut (sim, k, i, pick (sim, 2));
          }
      break;
    case 5:
      if (i != j)
        sim_set_link_cut (sim, i, j, true);
      break;
    case 7:
      lose_two (world, sim);
      break;
    case 6:
      sim_kill (sim, 1 + pick (sim, 3));
      sim_kill (sim, 1 + pick (sim, 3));
      break;
    default:
      for (unsigned k = 1; k <= INSTANCES; k++)
        sim_kill (sim, k);
    }
}

static void
mend (Sim *sim)
{
  for (unsigned i = 1; i <= INSTANCES; i++)
    {
      if (sim_node (sim, i) == NULL)
        sim_restart (sim, i);
      if (sim_is_frozen (sim, i))
        sim_freeze (sim, i, false);
    }
  if (pick (sim, 2))
    sim_heal_links (sim);
}

static void
step (World *world, Sim *sim)
{
  switch (pick (sim, 10))
    {
    case 0:
    case 1:
      make_change (world, sim);
      make_change (world, sim); /* two operators race with equal numbers */
      break;
    case 2:
      resend_change (world, sim);
      break;
    case 3:
    case 4:
      make_claim (world, sim);
      break;
    case 5:
      ask_in_force (world, sim);
      break;
    case 6:
    case 7:
      fault (world, sim);
      break;
    default:
      mend (sim);
    }
  for (unsigned i = 0; i < 10; i++)
    {
      sim_run (sim, sim_now (sim) + (int64_t) (sim_random (sim) % (uint64_t) (300 * FT_MS)));
      check (world, sim);
    }
}

/* With everything mended the system must come to rest with every accepted change in force. */
static void
settle (World *world, Sim *sim)
{
  uint64_t last = 0;

  mend (sim);
  sim_heal_links (sim);
  sim_run (sim, sim_now (sim) + 20 * FT_SECOND);
  check (world, sim);
  for (unsigned r = 1; r <= CHANGES; r++)
    if (world->accepted[r])
      last = r;
  for (unsigned i = 1; i <= INSTANCES; i++)
    {
      FtNode *node = sim_node (sim, i);
      FtCat *cat = ft_node_catalogue (node);
      if (last && (cat == NULL || ft_cat_revision (cat) < last))
        fail (world, sim, "accepted: a change is lost after everything was mended");
      if (last && !ft_node_is_fresh (node))
        fail (world, sim, "liveness: an instance does not come back");
    }
}

static void
run_schedule (uint64_t seed, unsigned *accepted, unsigned *granted)
{
  World world = { .seed = seed };
  SimConf conf = { .instances = INSTANCES,
                   .voters = 3,
                   .seed = seed,
                   .delay = 500,
                   .jitter = (seed % 3) * 20 * FT_MS,
                   .loss = (double) (seed % 4) * 0.05,
                   .duplication = (double) (seed % 2) * 0.1,
                   .clock_error = 0.005 };

  world.asked = g_array_new (FALSE, FALSE, sizeof (Asked));
  world.force_questions = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  Sim *sim = sim_new (&conf, &ops, &world);
  sim_run (sim, 3 * FT_SECOND);
  for (unsigned i = 0; i < STEPS; i++)
    step (&world, sim);
  settle (&world, sim);
  *accepted += world.accepted_count;
  *granted += world.granted_count;
  sim_free (sim);
  for (unsigned i = 0; i < world.change_count; i++)
    g_free (world.changes[i].text);
  g_array_unref (world.asked);
  g_hash_table_unref (world.force_questions);
}

int
main (int argc, char **argv)
{
  unsigned schedules = argc > 1 ? (unsigned) atoi (argv[1]) : SCHEDULES;
  uint64_t seed = argc > 2 ? g_ascii_strtoull (argv[2], NULL, 10) : 1;
  unsigned accepted = 0, granted = 0;

  printf ("1..1\n");
  for (unsigned i = 0; i < schedules; i++)
    run_schedule (seed + i, &accepted, &granted);
  printf ("# %u schedules from seed %" G_GUINT64_FORMAT
          ": %u changes accepted, %u claims granted\n",
          schedules, seed, accepted, granted);
  /* A test in which nothing happens proves nothing. */
  printf ("%s 1 - nothing accepted is lost or reverts\n",
          accepted > schedules && granted > schedules ? "ok" : "not ok");
  return accepted > schedules && granted > schedules ? 0 : 1;
}
