package org.radishpost.bench;

import java.util.ArrayDeque;
import java.util.BitSet;
import java.util.Deque;
import java.util.List;
import java.util.stream.IntStream;

/** An undirected graph of VMs and the links between them. */
final class PeerGraph {
  private final int size;
  private final BitSet[] links;

  PeerGraph(int size) {
    this.size = size;
    this.links = IntStream.range(0, size).mapToObj(i -> new BitSet(size)).toArray(BitSet[]::new);
  }

  int size() {
    return size;
  }

  void link(int one, int other) {
    links[one].set(other);
    links[other].set(one);
  }

  void unlink(int one, int other) {
    links[one].clear(other);
    links[other].clear(one);
  }

  boolean linked(int one, int other) {
    return links[one].get(other);
  }

  int degree(int vm) {
    return links[vm].cardinality();
  }

  List<Integer> neighbours(int vm) {
    return links[vm].stream().boxed().toList();
  }

  long linkCount() {
    return IntStream.range(0, size).mapToLong(this::degree).sum() / 2;
  }

  /** Returns the links that this graph has and the other one lacks. */
  long linksNotIn(PeerGraph other) {
    long missing = 0;
    for (int vm = 0; vm < size; vm++) {
      BitSet extra = (BitSet) links[vm].clone();
      extra.andNot(other.links[vm]);
      missing += extra.cardinality();
    }
    return missing / 2;
  }

  /**
   * Returns the rounds that something known to one VM takes to reach all others of a set.
   *
   * @return the rounds, or -1 when not all can be reached
   */
  int rounds(int from, BitSet among) {
    int[] round = new int[size];
    BitSet reached = new BitSet(size);
    Deque<Integer> queue = new ArrayDeque<>();
    reached.set(from);
    queue.add(from);
    int last = 0;
    while (!queue.isEmpty()) {
      int vm = queue.remove();
      last = round[vm];
      BitSet fresh = (BitSet) links[vm].clone();
      fresh.and(among);
      fresh.andNot(reached);
      reached.or(fresh);
      fresh.stream().forEach(next -> round[next] = round[vm] + 1);
      fresh.stream().forEach(queue::add);
    }
    return reached.cardinality() == among.cardinality() ? last : -1;
  }

  /** Tells whether the VMs of the set reach each other through VMs of the set. */
  boolean connects(BitSet among) {
    return among.isEmpty() || rounds(among.nextSetBit(0), among) >= 0;
  }
}
