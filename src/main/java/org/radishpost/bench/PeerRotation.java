package org.radishpost.bench;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Peers by rotation of random connections, as "Gossip Optimization Part 2: Breaking the Hub"
 * describes it: each round a VM drops random connections down to two below the wanted number and
 * refills with peers that others share; one that is full shares a peer with whom it refuses.
 */
final class PeerRotation {
  private static final int DROPPED_PER_ROUND = 2;
  private static final int SHARED_PEERS = 2;
  private static final int MAX_ATTEMPTS = 40;

  private final PeerGraph graph;
  private final int targetDegree;
  private final int seedCount;
  private final RandomGenerator random;

  /**
   * Creates VMs without connections.
   *
   * @param graph takes the connections
   * @param targetDegree the connections that each wants; twice as many are the most it takes
   * @param seedCount the first VMs, which all know at the start
   * @param random the source of chance
   */
  PeerRotation(PeerGraph graph, int targetDegree, int seedCount, RandomGenerator random) {
    this.graph = graph;
    this.targetDegree = targetDegree;
    this.seedCount = seedCount;
    this.random = random;
  }

  /** Lets all VMs do one round. */
  void runRound() {
    for (int vm = 0; vm < graph.size(); vm++) {
      dropPeers(vm);
    }
    for (int vm = 0; vm < graph.size(); vm++) {
      addPeers(vm);
    }
  }

  private void dropPeers(int vm) {
    while (graph.degree(vm) > targetDegree - DROPPED_PER_ROUND) {
      graph.removeLink(vm, pickRandom(graph.neighbors(vm)));
    }
  }

  private void addPeers(int vm) {
    for (int seed = 0; seed < seedCount && graph.degree(vm) < seedCount; seed++) {
      if (!tryConnect(vm, seed) && seed != vm) {
        tryConnect(vm, pickRandom(graph.neighbors(seed)));
      }
    }
    for (int attempt = 0; attempt < MAX_ATTEMPTS && graph.degree(vm) < targetDegree; attempt++) {
      List<Integer> peers = graph.neighbors(vm);
      if (peers.isEmpty()) {
        return;
      }
      List<Integer> sharedPeers = graph.neighbors(pickRandom(peers));
      for (int i = 0; i < SHARED_PEERS && graph.degree(vm) < targetDegree; i++) {
        tryConnect(vm, pickRandom(sharedPeers));
      }
    }
  }

  private boolean tryConnect(int vm, int other) {
    if (vm == other || graph.degree(other) >= 2 * targetDegree) {
      return false;
    }
    graph.addLink(vm, other);
    return true;
  }

  private int pickRandom(List<Integer> candidates) {
    return candidates.get(random.nextInt(candidates.size()));
  }
}
