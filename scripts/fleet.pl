#!/usr/bin/env perl
# fleet.pl [LOG...] - what instances' logs say of the time that things take to reach all of them.
# Reads lines "TIME NODE {json}" or JSON lines alone; times are the logs' own ("at"), in
# milliseconds unless said. Prints, in this order:
#   catalogue   for each version, from the first voter that has it: first, middle, last entry
#   list        for each reading of the voter in charge that showed a change: the same, by number of
#               servers
#   place       by second of the logs: requests, and their time from arrival to sending, p50 and p90
#   scheduler   how often entries turned to another, by whom and why
#   turns       slow turns of the loop by role and longest piece of work
use strict;
use warnings;
use JSON::PP;

my (%first, %entries, %lists, %entry_lists, %sent, %scheduler, %turns, $begin);

sub quantile {
  my ($part, @sorted) = @_;
  my $at = int ($part * @sorted);
  return $sorted[$at < @sorted ? $at : -1];
}

# "first/middle/last (count)" of the times after $from, in ms.
sub spread {
  my ($from, @times) = @_;
  my @after = sort { $a <=> $b } map { ($_ - $from) * 1000 } @times;
  return sprintf "%.0f/%.0f/%.0f (%d)", $after[0], quantile (0.5, @after), $after[-1], scalar @after;
}

sub take {
  my ($line) = @_;
  my ($event, $at, $node) = @$line{qw(event at node)};
  my $voter = exists $line->{proved} || ($line->{took_ms} // "") ne "" && $event eq "list";

  $begin = $at if !defined $begin || $at < $begin;
  if ($event eq "catalogue" && exists $line->{proved}) {
    my $known = $first{$line->{version}};
    $first{$line->{version}} = $at if !defined $known || $at < $known;
  } elsif ($event eq "catalogue") {
    push @{$entries{$line->{version}}}, $at;
  } elsif ($event eq "list" && $voter) {
    $lists{$line->{servers}} //= $at;
  } elsif ($event eq "list") {
    push @{$entry_lists{$line->{servers}}}, $at;
  } elsif (exists $line->{sent_ms} && $line->{sent_ms} >= 0) {
    push @{$sent{int $at}}, $line->{sent_ms};
  } elsif ($event eq "scheduler") {
    $scheduler{"$line->{by}, $line->{why}"}++;
  } elsif ($event eq "slow-turn") {
    (my $role = $node) =~ s/-.*//;
    push @{$turns{"$role, $line->{longest}"}}, $line->{took_ms};
  }
}

while (my $text = <>) {
  next unless $text =~ /(\{.*\})\s*$/;
  my $line = eval { decode_json ($1) } or next;
  take ($line) if defined $line->{event} && defined $line->{at} && defined $line->{node};
}

for my $version (sort { $a <=> $b } keys %first) {
  next unless $entries{$version};
  printf "catalogue %s: %s\n", $version, spread ($first{$version}, @{$entries{$version}});
}
for my $count (sort { $lists{$a} <=> $lists{$b} } keys %lists) {
  my @after = grep { $_ >= $lists{$count} && $_ < $lists{$count} + 5 } @{$entry_lists{$count} // []};
  printf "list of %s: %s\n", $count, spread ($lists{$count}, @after) if @after;
}
for my $second (sort { $a <=> $b } keys %sent) {
  my @times = sort { $a <=> $b } @{$sent{$second}};
  printf "place %d s: %d requests, p50 %d, p90 %d\n", $second - int ($begin), scalar @times,
    quantile (0.5, @times), quantile (0.9, @times);
}
printf "scheduler %s: %d\n", $_, $scheduler{$_} for sort keys %scheduler;
for my $key (sort keys %turns) {
  my @times = sort { $a <=> $b } @{$turns{$key}};
  printf "turns %s: %d, longest %d\n", $key, scalar @times, $times[-1];
}
