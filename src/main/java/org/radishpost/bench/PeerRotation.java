package org.radishpost.bench;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Chooses peers by rotating random connections, as described in "Gossip Optimization Part 2:
 * Breaking the Hub".
 *
 * <p>In each round, every VM drops random connections until it has two fewer than its target
 * degree. It then connects to random neighbors of its peers until it reaches the target degree. A
 * VM with fewer peers than there are seed VMs first tries to connect to the seed VMs; a seed VM
 * that is full offers one of its own peers instead.
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
   * Creates a rotation that adds and removes connections in a graph.
   *
   * @param graph the graph of VMs and connections
   * @param targetDegree the number of connections that each VM tries to have; a VM rejects further
   *     connections when it has twice as many
   * @param seedCount the number of seed VMs, which are the first VMs of the graph and known to all
   * @param random the source of random numbers
   */
  PeerRotation(PeerGraph graph, int targetDegree, int seedCount, RandomGenerator random) {
    this.graph = graph;
    this.targetDegree = targetDegree;
    this.seedCount = seedCount;
    this.random = random;
  }

  /** Runs one round: all VMs drop connections, then all VMs add connections. */
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
