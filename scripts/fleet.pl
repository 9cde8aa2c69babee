#!/usr/bin/env perl
# fleet.pl [LOG...] - measures from the instances' logs how fast changes reach all instances.
# Reads lines "TIME NODE {json}" or plain JSON lines. Times are the log's "at" fields; results are in
# milliseconds unless noted. Prints, in this order:
#   catalogue   for each version, the time from the first voter that has it to the first, median and
#               last entry
#   list        the same for each changed server list that the voter in charge read, by number of
#               servers
#   place       for each second: requests, and p50 and p90 of their time from arrival to sending
#   scheduler   how often entries changed to another scheduler, by type of scheduler and reason
#   turns       slow iterations of the event loop, by role and longest piece of work
use strict;
use warnings;
use JSON::PP;

my (%first_voter, %entry_times, %voter_lists, %entry_lists, %sent_ms, %scheduler, %slow_turns, $begin);

sub quantile {
  my ($fraction, @sorted) = @_;
  my $at = int ($fraction * @sorted);
  return $sorted[$at < @sorted ? $at : -1];
}

# Formats "first/median/last (count)" of the times since $from, in ms.
sub format_spread {
  my ($from, @times) = @_;
  my @after = sort { $a <=> $b } map { ($_ - $from) * 1000 } @times;
  return sprintf "%.0f/%.0f/%.0f (%d)", $after[0], quantile (0.5, @after), $after[-1], scalar @after;
}

sub add_line {
  my ($line) = @_;
  my ($event, $at, $node) = @$line{qw(event at node)};
  my $voter = exists $line->{proved} || ($line->{took_ms} // "") ne "" && $event eq "list";

  $begin = $at if !defined $begin || $at < $begin;
  if ($event eq "catalogue" && exists $line->{proved}) {
    my $earliest = $first_voter{$line->{version}};
    $first_voter{$line->{version}} = $at if !defined $earliest || $at < $earliest;
  } elsif ($event eq "catalogue") {
    push @{$entry_times{$line->{version}}}, $at;
  } elsif ($event eq "list" && $voter) {
    $voter_lists{$line->{servers}} //= $at;
  } elsif ($event eq "list") {
    push @{$entry_lists{$line->{servers}}}, $at;
  } elsif (exists $line->{sent_ms} && $line->{sent_ms} >= 0) {
    push @{$sent_ms{int $at}}, $line->{sent_ms};
  } elsif ($event eq "scheduler") {
    $scheduler{"$line->{by}, $line->{why}"}++;
  } elsif ($event eq "slow-turn") {
    (my $role = $node) =~ s/-.*//;
    push @{$slow_turns{"$role, $line->{longest}"}}, $line->{took_ms};
  }
}

while (my $text = <>) {
  next unless $text =~ /(\{.*\})\s*$/;
  my $line = eval { decode_json ($1) } or next;
  add_line ($line) if defined $line->{event} && defined $line->{at} && defined $line->{node};
}

for my $version (sort { $a <=> $b } keys %first_voter) {
  next unless $entry_times{$version};
  printf "catalogue %s: %s\n", $version, format_spread ($first_voter{$version}, @{$entry_times{$version}});
}
for my $count (sort { $voter_lists{$a} <=> $voter_lists{$b} } keys %voter_lists) {
  my @after = grep { $_ >= $voter_lists{$count} && $_ < $voter_lists{$count} + 5 } @{$entry_lists{$count} // []};
  printf "list of %s: %s\n", $count, format_spread ($voter_lists{$count}, @after) if @after;
}
for my $second (sort { $a <=> $b } keys %sent_ms) {
  my @times = sort { $a <=> $b } @{$sent_ms{$second}};
  printf "place %d s: %d requests, p50 %d, p90 %d\n", $second - int ($begin), scalar @times,
    quantile (0.5, @times), quantile (0.9, @times);
}
printf "scheduler %s: %d\n", $_, $scheduler{$_} for sort keys %scheduler;
for my $key (sort keys %slow_turns) {
  my @times = sort { $a <=> $b } @{$slow_turns{$key}};
  printf "turns %s: %d, longest %d\n", $key, scalar @times, $times[-1];
}
