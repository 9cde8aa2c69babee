#!/usr/bin/env bash
# mutants.sh [PART OF A NAME] - checks that the tests detect faults: removes one safeguard at a time from a
# copy of the tree and runs a test program, which must fail in a case that KNOWN-RED.txt lacks. Takes some
# minutes; not part of make check.
# mutants.sh --match - only checks that each safeguard is still found in the source.
set -u
cd "$(dirname "$0")/.." || exit 1
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
missed=0
only=${1:-}
match=no
[ "$only" != --match ] || { match=yes; only=; }

try () { # NAME FILES SED-EXPRESSION PROGRAM
  local mine file program=${4:-torture}
  [[ $1 == *"$only"* ]] || return 0
  if [ $match = yes ]; then
    for file in $2; do
      if sed -E "$3" "$file" | cmp -s - "$file"; then echo "$1: no line of $file matches"; return 1; fi
    done
    return 0
  fi
  mine=$(mktemp -d -p "$copy")
  cp -r CMakeLists.txt src net node platform daemon cli standin bench test "$mine"
  for file in $2; do
    sed -i -E "$3" "$mine/$file"
    if cmp -s "$file" "$mine/$file"; then echo "$1: no line of $file matches"; return 1; fi
  done
  cmake -S "$mine" -B "$mine/build" >/dev/null && make -C "$mine/build" "$program" >/dev/null 2>&1 \
    || { echo "$1: does not build"; return 1; }
  if result=$(ulimit -v 4000000; timeout 400 scripts/run-test.sh "$mine/build/$program" "${SCHEDULES:-3000}" 1 2>&1); then
    echo "$1: NOT FOUND in ${SCHEDULES:-3000} schedules"
    return 1
  else
    echo "$1: found: $(echo "$result" | grep -E '^# seed|^Bail out' | tail -1 | grep . || echo 'failed without a message, for example by its time limit')"
  fi
}

try "votes are not written down" src/raft.c 's/check_disk \(raft, wal_vote \(raft->wal, term, voted_for\)\);//' &
try "messages leave before the sync" src/raft.c 's/check_disk \(raft, wal_sync \(raft->wal\)\);//' &
try "a voter counts under any incarnation" "src/raftvote.c src/raftlead.c" 's/peer && peer->incarnation == voter->incarnation/peer != NULL/' &
try "an old log may lead" src/raftvote.c 's/^  return vote->last_term > last_term/  return true || vote->last_term > last_term/' &
try "a lease moves at once" src/lead.c 's/bool grace_over = .*LEASE_TAKEOVER_DELAY;/bool grace_over = true;/; s/now - instance->last_hello_at < LEASE_TAKEOVER_DELAY/now - instance->last_hello_at < LEASE_TAKEOVER_DELAY \/ 4/' &
try "freshness counts from the answer" src/node.c 's/node->fresh_at = MAX \(node->fresh_at, node->hello_sent_at\[reply->number % kept\]\);/node->fresh_at = node->answered_at;/' &
try "a resent change is judged again" src/state.c 's/^  if \(known\)$/  if (known \&\& known->revision == 0)/' &
try "the first claim does not win" src/state.c 's/same_owner \(&known->claim, claim\) \? FT_OK : FT_CONFLICT/FT_OK/' &
# The same log when voters find each other at run time. There is no mutant for the rule that a learner becomes a voter
# only when it has caught up: without it the log may stop after a second loss, but keeps its content.
try "found: votes are not written down" src/raft.c 's/check_disk \(raft, wal_vote \(raft->wal, term, voted_for\)\);//' test-found &
try "found: messages leave before the sync" src/raft.c 's/check_disk \(raft, wal_sync \(raft->wal\)\);//' test-found &
try "found: a voter counts under any incarnation" "src/raftvote.c src/raftlead.c" 's/peer && peer->incarnation == voter->incarnation/peer != NULL/' test-found &
try "found: an old log may lead" src/raftvote.c 's/^  return vote->last_term > last_term/  return true || vote->last_term > last_term/' test-found &
# Notices in servers' answers: rate limit, back-off, leaving.
try "a grant takes no token" src/pace.c 's/pace.tokens -= 1/pace.tokens -= 0/' test-pace &
try "a bucket opens full" src/pace.c 's/set_bucket_rate \(sched, pace, rate, 0, now\)/set_bucket_rate (sched, pace, rate, 10, now)/' test-pace &
try "an overtaken word counts" src/pace.c 's/ \&\& !granted_after_last_notice \(server, job\)//' test-pace &
try "each scheduler has the whole rate" src/pace.c 's/pace->rate \* sched->rate_share/pace->rate/' test-pace &
try "a successor starts with a token" src/pace.c 's/set_bucket_rate \(sched, pace, rate, max_tokens, now\)/set_bucket_rate (sched, pace, rate, 1, now)/' test-pace &
try "a limited server counts with all places" src/pace.c 's/^  return MIN \(places, rate.*$/  return places + 0 * rate;/' test-pace &
try "nobody is kept away" src/backoff.c 's/backoff_end \(server, owner\) <= now/true/' test-backoff &
try "one kept away waits to its end" src/backoff.c 's/if \(service->backoff_until <= now\)/if (true)/' test-backoff &
try "a list takes a leaving back" src/scheduler.c 's/ \|\| server->announced_leaving//' test-backoff &
try "an entry forgets what servers said" src/notices.c 's/^    return "leaving";/    return NULL;/; s/backoff_us > 0 \? "backoff" : NULL/backoff_us > 0 ? NULL : NULL/' test-place &
try "another server's word counts" node/try.c 's/answer->elsewhere \|\| //' test-notices &
# Servers that crash if they reject too much.
try "brittle: an overtaken word counts" src/brittle.c 's/^      && !sched_granted_after.*/      \&\& false)/' test-brittle-sched &
try "brittle: all that it bears is risked at once" src/brittle.c 's/RISK_PART +0.5/RISK_PART 1.0/' test-brittle-sched &
try "brittle: each scheduler risks it all" src/brittle.c 's/limit \* sched->rate_share/limit/' test-brittle-sched &
try "brittle: grants of unknown outcome are no risk" src/brittle.c 's/count \+= !job->got_first_event/count += 0/' test-brittle-sched &
try "brittle: rejections are not counted" src/brittle.c 's/^    count \+= now - brittle->rejected_at.*/    count += 0;/' test-brittle-sched &
try "brittle: no pause after a rejection" src/brittle.c 's/REJECTION_PAUSE +\(100/REJECTION_PAUSE (0/' test-brittle-sched &
try "brittle: a rejection leaves the room" src/brittle.c 's/^  set_room \(server, \(unsigned\) MIN \(running.*/  (void) running;/' test-brittle-sched &
try "brittle: the room grows at once" src/brittle.c 's/brittle->rejections == 0 \|\|/true ||/' test-brittle-sched &
try "brittle: growth in vain is repeated as soon" src/brittle.c 's/calm_for \* 2/calm_for/' test-brittle-sched &
try "brittle: a successor takes the listed places" src/brittle.c 's/set_room \(server, server->running, now\);/set_room (server, server->slots, now);/' test-brittle-sched &
try "brittle: adopted requests do not show the room" src/scheduler.c 's/^  brit_note_adopted .*//' test-brittle-sched &
try "brittle: a share that is no place stays none" src/scheduler.c 's/^      brit_tick .*//' test-brittle-sched &
try "brittle: a restarted server is filled" src/brittle.c 's/server->brittle.room = 1;/server->brittle.room = server->brittle.limit > 0 ? 1000 : 1;/' test-brittle-sched &
try "brittle: no reserve beside other schedulers" src/brittle.c 's/RESERVE_PART 0.25/RESERVE_PART 0.0/' test-brittle-sched &
try "brittle: load is admitted by listed places" src/estimate.c 's/^    return brit_room \(server\);/    return server->slots;/' test-brittle-sched &
try "brittle: the word is not read" platform/platform.c 's/NAME_BRITTLE, /"x", /' test-brittle &
try "brittle: the word is not told to a successor" node/placemsg.c 's/^.*brittle_milli = .*/ };/' test-place &
# Answers that have begun.
try "a silence ends a try" src/retry.c 's/RETRY_REPLACE : RETRY_WAIT/RETRY_RESUME : RETRY_WAIT/' test-silence &
try "a server that goes on is replaced all the same" node/try.c 's/^  req_withdraw_replacement \(req\);//' test-silence &
try "a refusal ends a begun answer" node/reqask.c 's/may_come_back \(req\) : req->begun;/may_come_back (req) : false;/; s/^  out.limit_at = .*/  out.limit_at = req->begun ? req_now (req) + EVENT_TIMEOUT : req->first_deadline;/' test-silence &
try "the kernel ends paused callers" net/hsrv.c 's/^  sock_set_user_timeout .*//' test-slow &
# Entries that reach no server.
try "path: one server is the path" src/paths.c 's/(LOST_SERVERS +)2/\11/' test-paths &
try "path: one success brings it back" src/paths.c 's/(BACK_CONNECTS +)2/\11/' test-paths &
try "path: a success refutes nothing" src/paths.c 's/^  paths->row(\+\+|_began = 0);//' test-paths &
try "path: failures far apart add up" src/paths.c 's/(ROW_MAX +\(3)/\1000/' test-paths &
try "path: doubt does not end" src/paths.c 's/(DOUBT_TIME +\(2)/\1000/' test-paths &
try "path: old failures are kept" src/paths.c 's/^  g_hash_table_foreach_remove .*//' test-paths &
try "relay: a slow reader does not stop the other side" net/relay.c 's/^    sock_pause_all \(from->sock, true\);/    (void) from;/' test-relay &
try "relay: its end is that of an answer" net/relay.c 's/^  sock_set_reset_on_close \(tunnel->(peer|server).sock, true\);//' test-relay &
try "relay: a reset is the end of an answer" net/relay.c 's/how == SOCK_END_EOF/how != SOCK_END_REFUSED/; s/how != SOCK_END_EOF/how == SOCK_END_REFUSED/' test-relay &
try "relay: a full one takes tunnels" net/relay.c 's/relay->count > relay->conf.tunnels_max/false/' test-relay &
try "relay: a stopped one takes tunnels" net/relay.c 's/relay->stopped \|\| //' test-relay &
try "relay: one that is cut off takes tunnels" net/relay.c 's/!relay->conf.is_usable \(relay->conf.user\)/false/' test-relay &
try "relay: a request may take any time" net/relay.c 's/(loop_now \(relay->loop\) \+) REQUEST_TIMEOUT/\1 1000 * REQUEST_TIMEOUT/' test-relay &
try "relay: its failure is the server's" net/hcli.c 's/return HXFER_RELAY_FAILED;/return HXFER_REFUSED;/' test-relay &
try "relay: its failures are reported" net/hcli.c 's/ && \(reached \|\| !relayed\)//' test-relay &
try "relay: its connects are the client's" net/hcli.c 's/conn->sock->peer, relayed,/conn->sock->peer, false,/' test-relay &
try "path: a connect alone is proof" net/hcli.c 's/^  if \(conn->server.port\)$/  report_path (conn, true);\n  if (conn->server.port)/' test-relay &
try "path: no other instance needs to reach a server" src/paths.c 's/ \|\| !paths->refuted//' test-paths &
try "path: any server reached elsewhere is proof" src/paths.c 's/^  if \(failure == NULL \|\| failure->row.*/  if (failure \&\& false)/' test-paths &
try "path: a server of an earlier row is proof" src/paths.c 's/failure == NULL \|\| failure->row != paths->row/failure == NULL/' test-paths &
try "relay: a tunnel is used again" net/hcli.c 's/conn->not_reusable \|\| conn->server.port/conn->not_reusable/' test-relay &
try "relays: of the same domain" node/relays.c 's/fill \(relays, peer, assignment, true\)/fill (relays, peer, assignment, false)/' test-relays &
try "relays: the same for all" node/relays.c 's/relays->next\+\+ % count/i % count/' test-relays &
try "relays: an entry for itself" node/relays.c 's/other->ip != peer->ip \&\& //' test-relays &
try "relays: one that is cut off" node/relays.c 's/ \|\| peer->cut_off//' test-relays &
try "relays: sent though unchanged" node/relays.c 's/^  if \(!changed\)/  if (false)/' test-relays &
# Streams go on at the version that began them.
try "version: any server may go on with a stream" src/versions.c 's/^  if \(strcmp \(job->version, server->version\) != 0\)$/  if (false)/' test-bound &
try "version: servers not in use are not looked at" src/dispatch.c 's/^    if \(ver_waits_apart \(job\)\)$/    if (false)/' test-bound &
try "version: one that is gone is waited for" src/admit.c 's/ \&\& !sched_any_usable \(job, now, NULL\)/ \&\& false/' test-bound &
try "version: a stream waits behind the queue of another" src/admit.c 's/^  if \(ver_waits_apart \(job\)\)$/  if (false)/; s/apart = ver_waits_apart \(job\)/apart = false/' test-bound &
try "version: returns to a trial are not counted" src/versions.c 's/^    versions->left--;$/    ;/' test-bound &
try "version: any scheduler continues a trial" src/versions.c 's/ \|\| versions->keeps \|\| !is_other \(versions, server->version\)/ || true/' test-bound &
try "version: nothing goes back to the one before" src/scheduler.c 's/versions->keeps = from->keeps/versions->keeps = false/' test-bound &
try "version: a return is due to the trial" src/versions.c 's/ \|\| job->version\)$/)/' test-bound &
try "version: all are used though one was ordered" src/versions.c "s/ && \*versions->ordered == '.0'//" test-bound &
try "origin: one holder" node/origdir.c 's/(HOLDERS +)3/\11/' test-origdir &
try "origin: a new link gets no records" node/origdir.c 's/^      origins_for_each .*//' test-origdir &
try "origin: one denial is enough" node/origdir.c 's/(DENIALS +)2/\11/; s/(DENIAL_GRACE) .*/\1 0/; s/^  \(100 \* FT_MS\).*//' test-origdir &
try "origin: older peers are asked" node/origdir.c 's/!peer->dialled \|\| !peer->knows_origins/!peer->dialled/; s/peer->role == MESH_VOTER \&\& peer->knows_origins/peer->role == MESH_VOTER/' test-origdir &
try "origin: links that come up are not asked" node/origdir.c 's/^  cds_list_for_each_entry_safe .*ask_peer \(peer, lookup\);$/  (void) lookup; (void) next;/' test-origdir &
try "origin: records of any organisation" src/origins.c 's/XXH3_64bits \(org \? org : "", org \? strlen \(org\) : 0\)/0 * strlen (org ? org : "")/' test-origdir &
try "origin: the versions listed before are forgotten" src/origins.c 's/newest->listed_at - listed->listed_at < ORIGINS_TIME_MAX/newest->listed_at == listed->listed_at/' test-origdir &
try "origin: none is recorded" node/try.c 's/^    req_record_origin \(req\);$/    (void) req;/' test-origins &
try "origin: one that nobody knows is guessed" node/reqorigin.c 's/return origdir_only_version \(req->requests->conf.origins, service\);/return origdir_only_version (req->requests->conf.origins, service) ? origdir_only_version (req->requests->conf.origins, service) : "v2";/' test-origins &
try "origin: a list of any age decides" src/origins.c 's/ \|\| now - origins->list_at > ORIGINS_LIST_AGE_MAX\)/)/' test-origdir &
try "origin: the time before a pause decides" node/origdir.c 's/loop_read_clock \(dir->loop\)/loop_now (dir->loop) - 4 * FT_SECOND/' test-origdir &
try "origin: what waited while suspended is new" node/origdir.c 's/mesh_arrived_at \(peer\)/loop_now (dir->loop)/' test-origdir &
try "origin: fields that are missing close the link" net/mesh.c 's/^  return valid;$/  return false \&\& valid;/' test-older &
try "origin: an older scheduler is believed" node/reqask.c 's/^  return req->version \&\& strcmp .*/  return req->version \&\& software == NULL;/' test-origins &
try "origin: it is not renewed" node/reqorigin.c 's/^        record \(req, origin->stream\);/        ;/' test-origins &
try "origin: a begun answer goes on anywhere" node/reqask.c 's/^  out.version = req->version;/  out.version = req->begun ? NULL : req->version;/; s/^  return req->version \&\& strcmp/  return !req->begun \&\& req->version \&\& strcmp/' test-origins &
# Which versions were listed lately.
try "listed: the first list is proof" src/origins.c 's/^  if \(!is_complete_at \(origins, now\) \|\| /  if (/' test-origdir &
try "listed: versions may pass unseen" src/origins.c 's/asked_at - watched_until \(origins\) > LIST_PAUSE_MAX \|\| //' test-origdir &
try "listed: anyone is believed" node/origdir.c 's/^      if \(peer->dialled \&\& peer->role == MESH_VOTER\)$/      if (true)/' test-origdir &
try "listed: the log of an older program is complete" src/state.c 's/^      if \(state->document.number == 0\)$/      if (true)/' test-listed &
try "listed: a snapshot lacks the table" src/state.c 's/listed_restore \(state->listed, \&in->listed\)/(void) in/' test-listed &
try "listed: a successor begins anew" node/listing.c 's/^  for \(unsigned i = 0; i < listing->table.services.services_len; i\+\+\)$/  for (unsigned i = 0; false; i++)/' test-joined &
try "listed: one that has just joined is logged" node/listing.c 's/^         \|\| broker_streams_begin_soon .*/         || true;/' test-cutaway &
try "listed: one that left early is logged" src/fresh.c 's/\|\| \(listed$/|| (true/; s/\(listed \&\& /(true \&\& /' test-bound &
try "fresh: ordered ones are withheld" src/fresh.c 's/return server->withheld \&\& server->service->versions.all_in_use;/return server->withheld;/' test-bound &
try "fresh: nothing settles at the start" src/fresh.c 's/presence == NULL \|\| !presence->initial/true/; s/g_hash_table_contains \(service->settled, server->version\)/false/' test-bound &
try "fresh: what joined anew settles" src/fresh.c 's/^      presence->initial = false;$/      ;/' test-bound &
try "listed: entries are not told" node/listing.c 's/^  bcast_send_all .*//' test-joined &
try "listed: callers are refused before the election" node/reqorigin.c 's/^  if \(origin == NULL && version == NULL && await_versions \(req\)\)$/  if (false \&\& await_versions (req))/' test-joined &
try "listed: what was told before a gap counts" src/origins.c 's/^  if \(watched_until \(origins\) > 0 \&\& .*/  if (false)/' test-origdir &
# Versions that have just joined.
try "fresh: streams begin at once" src/fresh.c 's/^  return server->withheld/  return false \&\& server->withheld/' test-bound &
try "fresh: streams begin at once, out of step" src/fresh.c 's/^  return server->withheld/  return false \&\& server->withheld/' test-outofstep &
try "fresh: a version alone is withheld" src/fresh.c 's/ \&\& \(several \|\| \(ready \&\& ready != presence\)\)//' test-bound &
try "fresh: one list ends the others" src/fresh.c 's/(OTHERS_GONE_TIME) \(4/\1 (0/' test-bound &
try "fresh: one that left early has settled" src/fresh.c 's/\(was_absent \&\& !has_settled \(presence\)\) \|\| //' test-bound &
try "fresh: time without lists counts" src/fresh.c 's/presence->listed_at - presence->joined_at >= ORIGINS_JOIN_TIME/presence->joined_at > 0/' test-bound &
try "fresh: the time of a pause counts" src/scheduler.c 's/MAX \(sched->received_at, ft_clock_now \(sched->clock\)\)/ft_clock_now (sched->clock)/' test-bound &
try "fresh: withheld places count" src/scheduler.c 's/ \&\& !fresh_is_withheld \(job, server\)//' test-bound &
# A scheduler that takes over.
try "takeover: the version of most servers is in use" node/listing.c 's/^    use_committed_versions \(listing\);/    (void) use_committed_versions;/' test-rolls &
try "takeover: another version is in use at entries" src/versions.c 's/^  if \(\*versions->ordered \|\| strcmp.*/  if (true || *versions->ordered/' test-rollout &
try "takeover: reports are not awaited" src/rollplan.c 's/ \&\& input->unreported == 0//' test-rollout &
try "takeover: reports are not awaited past the limit" src/rollplan.c 's/ \&\& \(input->unreported == 0 \|\| input->charge_us >= REPORT_WAIT\)//' test-rollout &
try "takeover: entries get no time to link" src/rollplan.c 's/input->charge_us >= time/true/' test-rollout &
try "takeover: servers are gone before the list is read" src/rollplan.c 's/input->listed \&\& //' test-rollout &
try "takeover: silence is a report" node/brokerlink.c 's/!asker->reported \|\| //' test-place &
try "takeover: one that turned away has reported" node/brokerlink.c 's/^  asker->reported = false;//' test-place &
try "takeover: no report without handovers" node/place.c 's/^  if \(next\)$/  if (next \&\& broker_handover_enabled (place->own))/' test-place &
try "takeover: a late grant is not told" node/place.c 's/^    pmsg_ask \(place, asked, req\);.*/    ;/' test-place &
try "takeover: requests on unlisted servers are dropped" src/scheduler.c 's/^  if \(server == NULL\)$/  if (server == NULL)\n    return;\n  if (server == NULL)/' test-rollout &
try "takeover: lost entries are forgotten" node/rollctl.c 's/g_hash_table_size \(rollouts->lost\)/0/' test-rolls &
# Bytes that are no answer and do not end.
try "broken: any first digit makes a status" net/hmsg.c "s/data\\[i\\] < '1' \\|\\| data\\[i\\] > '5'/!g_ascii_isdigit (data[i])/" test-broken &
try "broken: only the first status line is checked" net/hmsg.c 's/^  reader->line_at = 0;/  (void) reader->line_at;/' test-broken &
try "broken: interim responses are not checked apart" net/hmsg.c 's/^      reader->interim_ended = true;/      http_parser_pause (parser, 0);/' test-broken &
try "broken: a second coding is overlooked" net/hmsg.c 's/\+\+count > 1 \|\| //' test-broken &
try "broken: any coding is the body" net/hmsg.c 's/!is_coding \(hmsg_field_value \(msg, i\), decoded\)/false/' test-broken &
try "upload: no reset is awaited" net/hcli.c 's/^  int64_t wait = conn->long_request \? SOCK_RESET_WAIT : conn->reset_wait_us;/  int64_t wait = conn->long_request ? 0 : conn->reset_wait_us;/' test-upload &
try "lostends: no reset is awaited after a short request" net/hcli.c 's/^  int64_t wait = conn->long_request \? SOCK_RESET_WAIT : conn->reset_wait_us;/  int64_t wait = conn->long_request ? SOCK_RESET_WAIT : 0;/' test-lostends &
try "lifetime: another run at the address counts as the same" node/lifetime.c 's/^  else if \(named \|\| .*$/  else if (false \&\& is_new)/; s/ \&\& strcmp \(answer->server, attempt->check->name\) == 0//' test-lostends &
try "lifetime: no answer counts as a yes" node/tryend.c 's/^  if \(!req->end_decided\)$/  req->run_goes_on |= !req->end_decided;\n  if (false)/' test-lostends &
try "lifetime: no answer counts as a no" node/tryend.c 's/^  if \(!req->end_decided\)$/  if (false)/' test-latechecks &
try "lifetime: a rejection that names nobody is proof" node/lifetime.c 's/^  else if \(named \|\| /  else if (answer->not_run \&\& !answer->elsewhere)\n    attempt->evidence = "x";\n  else if (named || /' test-latechecks &
try "lifetime: no pause between checks" node/lifetime.c 's/check->not_before = check_now \(check\) \+ check->pause;/check->not_before = 0;/' test-latechecks &
try "lifetime: later answers are no proof" node/try.c 's/^    lifetimes_note_answer .*/    (void) answer;/' test-latechecks &
try "lifetime: undecided ends hold places" node/tryend.c 's/^      req_give_place_back \(req, SCHED_LEFT\);//' test-latechecks &
try "lifetime: one attempt at a time" node/lifetime.c 's/ATTEMPTS_OPEN   3/ATTEMPTS_OPEN   1/' test-latechecks &
try "lifetime: an older list is enough" node/lifetime.c 's/Scope read = \{ G_MAXUINT64, servers_asked_at \(servers\) \};/Scope read = { G_MAXUINT64, G_MAXINT64 };/' test-lostends &
try "lifetime: nobody is asked" node/tryend.c 's/^  req->run_goes_on = state == LIFETIME_GOES_ON;/  req->run_goes_on = state != 9;/' test-lostends &
try "lifetime: a replaced run counts as alive" node/ends.c 's/^  if \(state == LIFETIME_ENDED\)$/  if (false \&\& state)/' test-ends &
try "lostends: a relay awaits no reset" net/relay.c 's/^  if \(side == &side->tunnel->server\)$/  if (side == \&side->tunnel->server \&\& sock_has_unacknowledged (side->sock))/' test-lostends &
try "upload: a reset that follows is not looked at" net/hcli.c 's/^  if \(sock_is_reset \(conn->sock\)\)$/  if (false)/' test-upload &
try "upload: a check takes the reset" "net/hcli.c net/sock.c" 's/ \|\| sock_is_reset \(sock\)\)/)/; s/^  if \(poll \(&poller, 1, 0\) <= 0\)$/  (void) recv (conn->sock->fd.fd, \&size, 1, MSG_PEEK | MSG_DONTWAIT);\n  if (poll (\&poller, 1, 0) <= 0)/; s/^#include <poll.h>$/#include <poll.h>\n#include <sys\/socket.h>/' test-upload &
try "upload: a relay ends in order" net/relay.c 's/^  if \(side == &side->tunnel->server\)$/  if (false \&\& side)/' test-upload &
try "grace: open requests keep their time limit" node/requests.c 's/req->deadline <= ends_at \|\| /true || /' test-grace &
try "grace: late requests have their own time limit" node/requests.c 's/^    req->deadline = MIN \(req->deadline, requests->ends_at\);/    req->deadline += 0;/' test-grace &
try "grace: a try starts over" node/reqask.c 's/return req->requests->ends_at \&\& req->deadline .*;/return false \&\& req;/' test-grace &
try "membound: one call may take all" daemon/membound.c 's/wanted <= bound->total - others - wanted/wanted > 0/' test-membound &
try "membound: what others hold does not count" daemon/membound.c 's/size_t others = bound->used - \*held;/size_t others = 0;/' test-membound &
try "endless: informational responses are not counted" net/hmsg.c 's/\+\+reader->interim_count > INTERIM_MAX/reader->interim_count > INTERIM_MAX/' test-endless &
try "endless: any byte is a sign of life" node/try.c 's/^  if \(req->is_stream\)$/  record_received (req);\n  if (req->is_stream)/' test-endless &
try "endless: a refusal is read to its end" node/try.c '/^try_on_silence/,/^}/ s/if \(req->rejected\)/if (false)/; s/req->rejection_bytes > REJECTION_MAX/false/' test-endless &
try "endless: an event may have any length" src/events.c 's/events->partial->len > MAX_EVENT_BYTES/false/' test-decide &
try "a try that breaks at once counts" node/try.c 's/^  req->sends--;\n\}/}/; s/req->spared_attempt = true;/req->spared_attempt = true; return;/' test-begun &
# Parts of prompts that crash servers.
try "parts: none is charged" node/crashrep.c 's/if \(runs\[i\].events == 0\)/if (false)/' test-parts &
try "parts: runs that brought events are charged" node/crashrep.c 's/if \(runs\[i\].events == 0\)/if (true)/' test-witness &
try "parts: no answer clears one" node/crashrep.c 's/charged \|= quar_answered \(reporter->quar, print->keys\[i\]\);/(void) reporter;/' test-parts &
try "parts: the last one counts" platform/platform.c 's/^              if \(has_last \&\& count < max\)$/              if (count < max)/; s/parts\[count\+\+\] = last;/parts[count++] = part;/' test-adapter &
try "parts: repeated though they recur" node/requests.c 's/ \|\| verdict.part_ends > 0//' test-parts &
try "parts: a deputy is not told what the voter lost" node/crashrep.c 's/^    return !report->forwarded;/    return false;/' test-parts &
try "parts: a flood evicts contents" src/crashes.c 's/^      if \(fingerprint_is_part \(suspect->content\) != is_part\)$/      if (false)/' test-blame &
try "parts: none expires" src/crashes.c 's/^      if \(fingerprint_is_part \(suspect->content\)$/      if (false/' test-blame &
try "parts: expiry is not proposed" node/suspects.c 's/^    expire_parts \(suspects\);/    ;/' test-witness &
try "parts: an old beginning clears" src/quarantine.c 's/(BEGINNING_VALID) \(2 /\1 (60 /' test-attribution &
try "parts: waits that are granted are not checked again" node/reqask.c 's/^  else if \(req_is_quarantined \(req\)\)$/  else if (false)/' test-parts &
try "attribution: each key is a cause" src/attribution.c 's/from->ends >= shared \+ CRASHES_QUARANTINE/from->ends >= CRASHES_QUARANTINE/' test-attribution &
try "attribution: none is a cause by itself" src/attribution.c 's/from->ends >= shared \+ CRASHES_QUARANTINE/false/' test-attribution &
try "attribution: one suspect of a crash is enough" src/attribution.c 's/^    if \(!marked\[g_array_index.*/    if (marked[g_array_index (crash->suspects, unsigned, i)]) return true; else if (i + 1 == crash->suspects->len)/' test-attribution &
try "attribution: no part explains a content" src/attribution.c 's/explains = fingerprint_is_part \(other->key\)/explains = false \&\& fingerprint_is_part (other->key)/' test-attribution &
# Most new connections at one entry.
try "skew: idle connections stay" net/hsrv.c 's/ \|\| evict_idle \(srv\)/ || false/' test-skew &
try "skew: any number is taken" node/callers.c 's/^                     .connections = .*/                     .connections = 0,/' test-skew &
try "skew: taken at any load" node/callers.c 's/.load = LOOP_LOAD_HIGH/.load = 0/' test-skew &
# Answers that end with their connection.
try "unframed: an orderly close is complete" node/try.c 's/on_failed, on_ending \};/on_failed, NULL };/; s/^  else if \(req->ended_at\)$/  else if (false \&\& on_ending)/' test-unframed &
try "unframed: an early end is the end" node/tryend.c 's/^  else if \(req->is_stream \&\& req->events > 0 .*/  else if (false)/' test-unframed &
try "unframed: a head is an answer" node/tryend.c 's/req->status \/ 100 == 2 \&\& !has_body/false \&\& has_body/' test-unframed &
try "unframed: more is the end" node/reqend.c 's/req->unconfirmed \&\& !req->asked_for_more/req->unconfirmed/' test-unframed &
try "unframed: it is framed for the caller" node/reqend.c 's/!req->begun \&\& req->close_delimited/false/' test-unframed &
try "unframed: the stream is framed for the caller" node/try.c 's/^  if \(req->close_delimited\)$/  if (false)/' test-unframed &
try "unframed: no receipt is needed" node/try.c 's/ \&\& !answer.has_receipt/ \&\& false/' test-unframed &
try "unframed: a part of an event is complete" "node/try.c node/tryend.c" 's/req->is_stream \&\& events_has_partial \(req->stream\)/false/' test-unframed &
try "unframed: a crash ends a stream" node/requests.c 's/req->spared_attempt \|\| req->events > 0/req->spared_attempt/' test-unframed &
# Events that a server repeats.
try "repeats: the caller's own event is not known" src/events.c 's/^  events->has_number = last_id .*/  (void) parse_number;/' test-events &
try "repeats: the caller's own event is not named" node/try.c 's/events_new \(req_is_return.*/events_new (NULL);/' test-repeats &
try "repeats: any route can be taken up" node/try.c 's/req_is_return \(req\) \? req->facts.last_event : NULL/req->facts.last_event/' test-repeats &
try "repeats: a sign is part of a number" src/events.c 's/!g_ascii_string_to_unsigned .*/(value = g_ascii_strtoull (id, NULL, 10)) == 0)/' test-events &
try "repeats: a name forgets the numbers" src/events.c 's/^  if \(is_number\)$/  events->has_number = false;\n  if (is_number)/' test-events &
try "format: a CR ends no line" src/events.c "s/byte == '.r' \|\| byte == /byte == /" test-events &
try "format: the LF after a CR is a line" src/events.c 's/events->after_cr && byte/false \&\& byte/' test-events &
try "format: a mark is part of a field" src/events.c 's/^  if \(events->at_start\)$/  if (false)/' test-events &
try "format: the next server's mark is passed on" src/events.c 's/^  if \(events->has_appended\)$/  if (false)/' test-events &
try "format: a NUL is part of an id" src/events.c 's/^  if \(memchr \(line \+ value, .*/  if (false)/' test-events &
try "format: an empty id is one" src/events.c 's/events->id = size > value \? /events->id = size >= value ? /' test-events &
try "format: the id of a partial event counts" src/events.c 's/^  g_clear_pointer \(&events->id, g_free\);$//' test-events &
try "format: the rest of a line end is lost" node/try.c 's/^  else if \(out->len > 0\)$/  else if (false)/' test-repeats &
try "no id: a begun stream is resumed" src/retry.c 's/ \&\& !facts->past_last_id//' test-decide &
try "no id: the entry does not tell" node/requests.c 's/req->stream \&\& !events_can_resume \(req->stream\)/false/' test-repeats &
try "no id: comments need one" src/events.c 's/events->is_past_id \|= has_data;/events->is_past_id = true || has_data;/' test-events &
try "no resume: streams of any route are resumed" src/retry.c 's/ \&\& facts->kind == RT_STREAM \&\& facts->resumable//' test-decide &
try "engine events: any id is a number" daemon/sse.c 's/^  return g_ascii_string_to_unsigned .*/  (void) number;\n  return g_ascii_strtoll (text, NULL, 10);/' test-text &
try "engine events: data has one line" daemon/sse.c 's/g_strsplit \(data, ".n", -1\)/g_strsplit (data, "\\n", 1)/' test-text &
# Versions of catalogues above 2^53.
try "versions: read as doubles" platform/catalogue.c 's/\*out = json_object_get_uint64 \(value\);.*/*out = (uint64_t) json_object_get_double (value);/' test-versions &
try "versions: a fraction is dropped" platform/catalogue.c 's/ \&\& dropped == 0/ || dropped/' test-adapter &
try "versions: any number is taken" platform/catalogue.c 's/ \&\& \*out <= VERSION_MAX//' test-adapter &
try "versions: a committed one is refused" platform/catalogue.c 's/^    version = number; .*/    version = 0;/' test-adapter &
try "versions: numbers are versions" src/route.c 's/newest_number > newest_version \? newest_number - newest_version : 0/0 * newest_number/' test-versions &
try "versions: compared with numbers" node/operators.c 's/newest \? rt_cat_version \(newest\) : newest_number/newest_number/' test-versions &
try "versions: entries compare versions" node/entry.c 's/document->number <= rt_cat_number/document->number <= rt_cat_version/; s/rt_cat_number \(entry->cat\) != document->base/rt_cat_version (entry->cat) != document->base/; s/rt_cat_number \(entry->cat\) < entry->newest/rt_cat_version (entry->cat) < entry->newest/' test-versions &
try "numbers: text is a number" platform/catalogue.c 's/!is_number \(value\) \|\| //' test-adapter &
try "numbers: a negative cap is none" platform/catalogue.c 's/ \|\| number < 0\)/)/' test-adapter &
try "numbers: any text opens a route" platform/catalogue.c 's/json_type_boolean, "true or false"/json_object_get_type (member (object, name)), ""/' test-adapter &
try "numbers: large sizes cost nothing" platform/platform.c 's/return MIN \(count, max\);/return count + 0 * max;/' test-adapter &
# Lists of organisations.
try "tenants: an empty list is none" src/route.c 's/^  return cat->has_orgs;/  return cat->orgs->len > 0;/' test-tenants &
try "tenants: null is no list" platform/catalogue.c 's/^  if \(!has_member \(root, "Tenants"\)\)/  if (member (root, "Tenants") == NULL)/' test-tenants &
try "tenants: an empty key is one" src/route.c 's/return key \&\& \*key \? /return key ? /; s/^  if \(\*text\)$/  if (true)/' test-decide &
try "tenants: any value is a key" platform/catalogue.c 's/json_object_is_type \(key, json_type_string\) \? /key ? /' test-tenants &
try "tenants: a cap of null is none" platform/catalogue.c 's/has_member \(object, name\) \&\& member \(object, name\) == NULL/false/' test-tenants &
# Processes that end by themselves, or do not start.
try "crash table: its message has no bound" node/suspects.c 's/MIN \(all\.suspects\.suspects_len, MESH_SUSPECTS_MAX\)/all.suspects.suspects_len/' test-exits &
try "crash table: packed again and again" node/bcast.c 's/tried = true;/tried = false;/' test-publish &
try "crash table: old suspects stay" src/crashes.c 's/wall_ms - last_crash_ms \(suspect\) > kept/false \&\& wall_ms > kept/' test-blame &
try "crash table: new keys have no share" src/crashes.c 's/found->single_count >= max \/ CRASHES_SINGLE_PART/max > 0/' test-blame &
try "bytes: the log is cut by number alone" src/raft.c 's/raft->applied_bytes > raft->conf\.snapshot_bytes/false/' test-logbytes &
try "bytes: all is sent to a silent voter" src/raftlead.c 's/peer->unanswered_bytes < MAX_UNANSWERED/true/' test-logbytes &
try "bytes: no reply counts" src/raftlead.c 's/^  peer->unanswered_bytes = 0;$//' test-logbytes &
try "bytes: the uncommitted have no bound" src/raft.c 's/>= MAX_UNCOMMITTED_BYTES/== G_MAXSIZE/' test-logbytes &
try "bytes: the queue has no bound" node/voter.c 's/voter->queued_bytes \+ size <= QUEUED_MAX/true/' test-publish &
try "bytes: an operation above the bound" src/raft.c 's/ \|\| bytes->len > FT_TEXT_MAX//' test-logbytes &
try "bytes: pieces are read at the wrong place" src/wal.c 's/reader->start \+= reader->at;//' test-logbytes &
try "bytes: half a record is the end" src/wal.c 's/return ensure_bytes \(reader, HEADER_SIZE \+ get_u32 \(head \+ 4\)\);/return status;/' test-logbytes &
try "start: not tried again" node/main.c 's/\(status == FT_IO \|\| status == FT_CONFLICT\) \&\& now/false \&\& now/' test-exits &
try "start: a folder in use is final" node/main.c 's/ \|\| status == FT_CONFLICT//' test-exits &
try "start: it never gives up" node/main.c 's/now < process->start_until/now > 0/' test-exits &
try "start: settings are read once" node/main.c 's/!once \&\& i < SETTINGS_TRIES/!once \&\& i < 1/' test-exits &
try "start: SIGXFSZ" node/main.c 's/signal \(SIGXFSZ, SIG_IGN\);//' test-exits &
try "start: the last end is not noted" node/runs.c 's/fatal_set_hook \(on_fatal\);//' test-exits &
try "start: no last line" node/fatal.c 's/^      write_line \(\);$//' test-exits &
try "close: frees what is read" net/sock.c 's/loop_free_later \(sock->loop, g_byte_array_free \(sock->in, FALSE\)\)/g_byte_array_unref (sock->in)/' test-wire &
try "loop: timers of the present fire at once" net/loop.c 's/^  if \(loop->firing\)$/  if (false)/' test-wire &
try "list: linear digests" node/servers.c 's/^  return mix \(\(hash/  return ((hash/' test-list &
try "damaged: it forms a voter set" node/voter.c 's/^  voter->conf\.may_bootstrap = false;$//' test-exits &
try "damaged: it ends" node/voter.c 's/status == FT_CORRUPT\)$/status == FT_CORRUPT \&\& false)/' test-exits &
for job in $(jobs -p); do wait "$job" || missed=1; done
exit $missed
