package org.radishpost.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.radishpost.manifest.TargetSpec;

/**
 * Assigns the targets of a service in a zone to shards of bounded mean size by rendezvous hashing.
 *
 * <p>Each target belongs to the shard with the highest hash rank for its address. A new target
 * therefore moves no other target while the number of shards does not change. A new shard takes
 * only its own share of targets from each of the other shards.
 */
final class ShardAssignment {
  static final int MAX_MEAN_TARGETS_PER_SHARD = 64;

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;
  private static final long GOLDEN_GAMMA = 0x9e3779b97f4a7c15L;

  private ShardAssignment() {}

  /** Returns the targets by shard, without empty shards. */
  static SortedMap<Integer, List<TargetSpec>> split(List<TargetSpec> targets) {
    int shards = Math.ceilDiv(targets.size(), MAX_MEAN_TARGETS_PER_SHARD);
    SortedMap<Integer, List<TargetSpec>> targetsByShard = new TreeMap<>();
    for (TargetSpec target : targets) {
      int shard = shardOf(target, shards);
      targetsByShard.computeIfAbsent(shard, unused -> new ArrayList<>()).add(target);
    }
    return targetsByShard;
  }

  private static int shardOf(TargetSpec target, int shards) {
    long hash = hash(target.address().toString());
    int best = 0;
    for (int shard = 1; shard < shards; shard++) {
      if (Long.compareUnsigned(rank(hash, shard), rank(hash, best)) > 0) {
        best = shard;
      }
    }
    return best;
  }

  private static long rank(long hash, int shard) {
    return mix(hash + GOLDEN_GAMMA * (shard + 1));
  }

  private static long hash(String text) {
    long hash = FNV_OFFSET;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * FNV_PRIME;
    }
    return hash;
  }

  private static long mix(long bits) {
    long once = (bits ^ (bits >>> 30)) * 0xbf58476d1ce4e5b9L;
    long twice = (once ^ (once >>> 27)) * 0x94d049bb133111ebL;
    return twice ^ (twice >>> 31);
  }
}
