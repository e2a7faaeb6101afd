package org.radishpost.bench;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Peers by rotation of random connections, as "Gossip Optimization Part 2: Breaking the Hub"
 * describes it: each round a VM drops random connections down to two below the wanted number and
 * refills with peers that others share; one that is full shares a peer with whom it refuses.
 */
final class RotatingPeers {
  private static final int DROPPED_EACH_ROUND = 2;
  private static final int SHARED = 2;
  private static final int TRIES = 40;

  private final PeerGraph graph;
  private final int wanted;
  private final int seeds;
  private final RandomGenerator random;

  /**
   * Creates VMs without connections.
   *
   * @param graph takes the connections
   * @param wanted the connections that each wants; twice as many are the most it takes
   * @param seeds the first VMs, which all know at the start
   * @param random the source of chance
   */
  RotatingPeers(PeerGraph graph, int wanted, int seeds, RandomGenerator random) {
    this.graph = graph;
    this.wanted = wanted;
    this.seeds = seeds;
    this.random = random;
  }

  /** Lets all VMs do one round. */
  void round() {
    for (int vm = 0; vm < graph.size(); vm++) {
      drop(vm);
    }
    for (int vm = 0; vm < graph.size(); vm++) {
      refill(vm);
    }
  }

  private void drop(int vm) {
    while (graph.degree(vm) > wanted - DROPPED_EACH_ROUND) {
      graph.unlink(vm, pick(graph.neighbours(vm)));
    }
  }

  private void refill(int vm) {
    for (int seed = 0; seed < seeds && graph.degree(vm) < seeds; seed++) {
      if (!connect(vm, seed) && seed != vm) {
        connect(vm, pick(graph.neighbours(seed)));
      }
    }
    for (int attempt = 0; attempt < TRIES && graph.degree(vm) < wanted; attempt++) {
      List<Integer> peers = graph.neighbours(vm);
      if (peers.isEmpty()) {
        return;
      }
      List<Integer> offered = graph.neighbours(pick(peers));
      for (int i = 0; i < SHARED && graph.degree(vm) < wanted; i++) {
        connect(vm, pick(offered));
      }
    }
  }

  private boolean connect(int vm, int other) {
    if (vm == other || graph.degree(other) >= 2 * wanted) {
      return false;
    }
    graph.link(vm, other);
    return true;
  }

  private int pick(List<Integer> from) {
    return from.get(random.nextInt(from.size()));
  }
}
