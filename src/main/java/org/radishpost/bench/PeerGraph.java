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

  void addLink(int first, int second) {
    links[first].set(second);
    links[second].set(first);
  }

  void removeLink(int first, int second) {
    links[first].clear(second);
    links[second].clear(first);
  }

  boolean hasLink(int first, int second) {
    return links[first].get(second);
  }

  int degree(int vm) {
    return links[vm].cardinality();
  }

  List<Integer> neighbors(int vm) {
    return links[vm].stream().boxed().toList();
  }

  long linkCount() {
    return IntStream.range(0, size).mapToLong(this::degree).sum() / 2;
  }

  /** Returns the links that this graph has and the other one lacks. */
  long countLinksNotIn(PeerGraph other) {
    long endpoints = 0;
    for (int vm = 0; vm < size; vm++) {
      BitSet extra = (BitSet) links[vm].clone();
      extra.andNot(other.links[vm]);
      endpoints += extra.cardinality();
    }
    return endpoints / 2;
  }

  /**
   * Returns the rounds that something known to one VM takes to reach all others of a set.
   *
   * @return the rounds, or -1 when not all can be reached
   */
  int broadcastRounds(int source, BitSet members) {
    int[] roundReached = new int[size];
    BitSet reached = new BitSet(size);
    Deque<Integer> queue = new ArrayDeque<>();
    reached.set(source);
    queue.add(source);
    int lastRound = 0;
    while (!queue.isEmpty()) {
      int vm = queue.remove();
      lastRound = roundReached[vm];
      BitSet newlyReached = (BitSet) links[vm].clone();
      newlyReached.and(members);
      newlyReached.andNot(reached);
      reached.or(newlyReached);
      newlyReached.stream().forEach(next -> roundReached[next] = roundReached[vm] + 1);
      newlyReached.stream().forEach(queue::add);
    }
    return reached.cardinality() == members.cardinality() ? lastRound : -1;
  }

  /** Tells whether the VMs of the set reach each other through VMs of the set. */
  boolean isConnected(BitSet members) {
    return members.isEmpty() || broadcastRounds(members.nextSetBit(0), members) >= 0;
  }
}
