#!/usr/bin/env perl
# losses.pl - shows from the entries' logs which requests were lost or late, and why.
#
#     scripts/losses.pl [--pause MS] [LOG...]
#
# Reads log lines of foxtailnode, ignoring anything before the first brace, and sums the work of lost requests by
# route and cause, and by time. Work stands for what a request is worth to its caller: its prompt tokens plus ten for
# each answer token requested, or 1,000 if neither is stated. A request that its caller repeats counts each time.
# --pause: the longest pause between two events of an answer that is still on time, in ms (default 500).
use strict;
use warnings;
use JSON::PP;

my $ROW_SECONDS = 2;    # time covered by one row of the table by time
my $max_pause_ms = 500;
if (@ARGV && $ARGV[0] eq '--pause') {
  shift @ARGV;
  $max_pause_ms = shift @ARGV // '';
  die "losses.pl: --pause: expected a number of milliseconds, got '$max_pause_ms'\n"
    unless $max_pause_ms =~ /^\d+$/;
}

# Returns why a request was lost, or '' if its answer was complete and on time.
sub cause {
  my ($end) = @_;
  my $event = $end->{event};
  return "$event $end->{why}" if $event =~ /^(?:refuse|fail|break-off)$/;
  return $end->{events} ? 'left in the answer' : 'left before the answer' if $event eq 'left';
  return "server's failure $end->{status}" if $end->{status} >= 500;
  my $late = $end->{first_ms} > $end->{aim_ms};
  return 'late, waited for a place' if $late && $end->{sent_ms} * 2 > $end->{aim_ms};
  return 'late, at the server' if $late;
  return 'late, a pause' if $end->{pause_ms} > $max_pause_ms;
  return '';
}

sub request_work {
  my ($end) = @_;
  my $tokens = $end->{prompt} + 10 * $end->{most};
  return $tokens ? $tokens : 1000;
}

my (%all, %lost, %by_time, $total_work, $first_at);
while (my $line = <>) {
  next unless $line =~ /(\{"at":.*"event":"(?:answer|refuse|fail|break-off|left)".*\})/;
  my $end = eval { decode_json($1) } or do {
    warn "losses.pl: $ARGV line $.: incomplete log line, ignored\n";
    next;
  };
  next unless $end->{route};
  my ($work, $why) = (request_work($end), cause($end));
  $total_work += $work;
  $all{$end->{route}} += $work;
  $first_at = $end->{at} if !defined $first_at || $end->{at} < $first_at;
  my $row = int($end->{at} / $ROW_SECONDS) * $ROW_SECONDS;
  $by_time{$row}{all} += $work;
  next if $why eq '';
  $lost{$end->{route}}{$why}{work} += $work;
  $lost{$end->{route}}{$why}{count}++;
  $by_time{$row}{lost}{$why} += $work;
}
die "losses.pl: the input has no log line about the end of a request\n" unless $total_work;

printf "%-14s %-32s %8s %7s\n", 'route', 'cause', 'requests', 'work';
my @rows = map { my $route = $_; map { [ $route, $_, $lost{$route}{$_} ] } keys %{ $lost{$route} } } keys %lost;
for (sort { $b->[2]{work} <=> $a->[2]{work} || "$a->[0]$a->[1]" cmp "$b->[0]$b->[1]" } @rows) {
  printf "%-14s %-32s %8d %7.4f\n", $_->[0], $_->[1], $_->[2]{count}, $_->[2]{work} / $total_work;
}
printf "\n%-8s %7s  %s\n", 'second', 'lost', 'causes, the largest first';
for my $row (sort { $a <=> $b } keys %by_time) {
  my $lost = $by_time{$row}{lost} // {};
  my $sum = 0;
  $sum += $_ for values %$lost;
  my @causes = sort { $lost->{$b} <=> $lost->{$a} || $a cmp $b } keys %$lost;
  splice @causes, 3 if @causes > 3;
  printf "%-8d %7.4f  %s\n", $row - int($first_at / $ROW_SECONDS) * $ROW_SECONDS, $sum / $by_time{$row}{all},
    join '; ', map { sprintf '%s %.3f', $_, $lost->{$_} / $by_time{$row}{all} } @causes;
}
