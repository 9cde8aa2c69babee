#!/usr/bin/env perl
# losses.pl - where callers' requests were lost or late, from the entries' logs.
#
#     scripts/losses.pl [--pause MS] [LOG...]
#
# Reads log lines of foxtailnode (what stands before a line's first brace is skipped) and adds up the ends of
# requests by route and cause, and by time. Work is prompt tokens and ten for each token of the answer that was
# asked for, 1,000 where none is stated: what a lost request is worth to its caller grows with it. A request that its
# caller asked for again counts each time. --pause: longest pause between events that is on time (500).
use strict;
use warnings;
use JSON::PP;

my $SPAN = 2;    # seconds of a row of the table by time
my $pause_most = 500;
if (@ARGV && $ARGV[0] eq '--pause') {
  shift @ARGV;
  $pause_most = shift @ARGV // '';
  die "losses.pl: --pause: a number of milliseconds is wanted, not '$pause_most'\n"
    unless $pause_most =~ /^\d+$/;
}

# The cause of a loss; empty: the answer was whole and on time.
sub cause {
  my ($end) = @_;
  my $event = $end->{event};
  return "$event $end->{why}" if $event =~ /^(?:refuse|fail|break-off)$/;
  return $end->{events} ? 'left in the answer' : 'left before the answer' if $event eq 'left';
  return "server's failure $end->{status}" if $end->{status} >= 500;
  my $late = $end->{first_ms} > $end->{aim_ms};
  return 'late, waited for a place' if $late && $end->{sent_ms} * 2 > $end->{aim_ms};
  return 'late, at the server' if $late;
  return 'late, a pause' if $end->{pause_ms} > $pause_most;
  return '';
}

sub work {
  my ($end) = @_;
  my $tokens = $end->{prompt} + 10 * $end->{most};
  return $tokens ? $tokens : 1000;
}

my (%all, %lost, %by_time, $work, $first_at);
while (my $line = <>) {
  next unless $line =~ /(\{"at":.*"event":"(?:answer|refuse|fail|break-off|left)".*\})/;
  my $end = eval { decode_json($1) } or do {
    warn "losses.pl: $ARGV line $.: not a whole log line, left out\n";
    next;
  };
  next unless $end->{route};
  my ($part, $why) = (work($end), cause($end));
  $work += $part;
  $all{$end->{route}} += $part;
  $first_at = $end->{at} if !defined $first_at || $end->{at} < $first_at;
  my $row = int($end->{at} / $SPAN) * $SPAN;
  $by_time{$row}{all} += $part;
  next if $why eq '';
  $lost{$end->{route}}{$why}{work} += $part;
  $lost{$end->{route}}{$why}{count}++;
  $by_time{$row}{lost}{$why} += $part;
}
die "losses.pl: no end of a request in the input\n" unless $work;

printf "%-14s %-32s %8s %7s\n", 'route', 'cause', 'requests', 'work';
my @rows = map { my $route = $_; map { [ $route, $_, $lost{$route}{$_} ] } keys %{ $lost{$route} } } keys %lost;
for (sort { $b->[2]{work} <=> $a->[2]{work} || "$a->[0]$a->[1]" cmp "$b->[0]$b->[1]" } @rows) {
  printf "%-14s %-32s %8d %7.4f\n", $_->[0], $_->[1], $_->[2]{count}, $_->[2]{work} / $work;
}
printf "\n%-8s %7s  %s\n", 'second', 'lost', 'causes, the largest first';
for my $row (sort { $a <=> $b } keys %by_time) {
  my $lost = $by_time{$row}{lost} // {};
  my $sum = 0;
  $sum += $_ for values %$lost;
  my @causes = sort { $lost->{$b} <=> $lost->{$a} || $a cmp $b } keys %$lost;
  splice @causes, 3 if @causes > 3;
  printf "%-8d %7.4f  %s\n", $row - int($first_at / $SPAN) * $SPAN, $sum / $by_time{$row}{all},
    join '; ', map { sprintf '%s %.3f', $_, $lost->{$_} / $by_time{$row}{all} } @causes;
}
