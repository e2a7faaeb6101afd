package org.radishpost.bench;

import java.util.ArrayDeque;
import java.util.BitSet;
import java.util.Deque;
import java.util.List;
import java.util.stream.IntStream;

/** An undirected graph with VMs as nodes, numbered from 0, and links as edges. */
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

  /** Returns the number of links of this graph that the other graph does not have. */
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
   * Returns the number of rounds that a broadcast needs to reach all members. In each round, every
   * member that has the message sends it to its neighbors among the members.
   *
   * @param source the member that starts the broadcast
   * @param members the VMs that take part
   * @return the number of rounds, or -1 if some members cannot be reached
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

  /** Returns whether all members can reach each other through links between members. */
  boolean isConnected(BitSet members) {
    return members.isEmpty() || broadcastRounds(members.nextSetBit(0), members) >= 0;
  }
}
