package org.radishpost.routing;

import static org.radishpost.routing.RoutingFixture.configuration;
import static org.radishpost.routing.RoutingFixture.gateway;
import static org.radishpost.routing.RoutingFixture.route;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.radishpost.config.Configuration;
import org.radishpost.config.Scope;
import org.radishpost.config.VersionedManifest;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.PoolId;
import org.radishpost.manifest.TargetSpec;
import org.testng.annotations.Test;

/** Tests how pools depend on zones, home regions, shards and out-of-service scopes. */
public class PoolMapTest {
  private static final VersionedManifest GATEWAY =
      gateway(
          "g",
          RoutingFixture.service(2),
          route("all", "", "/", "GET"),
          route("home", "", "/home", "GET", "kozep", "kelet"));

  @Test
  public void candidatesAreInServiceAndWithinTheHomeRegions() {
    PoolMap map = PoolMap.of(configuration(Set.of(), GATEWAY));
    assertEquals(zones(map, "all").size(), 6);
    assertEquals(zones(map, "home"), Set.of("kozep-1", "kozep-2", "kelet-1", "kelet-2"));
    Scope zone = new Scope(Scope.Kind.ZONE, "kozep-1");
    Scope region = new Scope(Scope.Kind.REGION, "kelet");
    PoolMap reduced = map.withConfiguration(configuration(Set.of(zone, region), GATEWAY));
    assertEquals(zones(reduced, "home"), Set.of("kozep-2"));
    assertEquals(reduced.pools().size(), 3);
    PoolId removed = map.pools().iterator().next();
    assertEquals(map.slots(removed), 4);
    assertEquals(reduced.targetsOf(removed), List.of());
  }

  @Test
  public void newTargetMovesFewTargetsBetweenShards() {
    List<TargetSpec> all = RoutingFixture.service(1_000).targets().subList(0, 1_000);
    Map<Endpoint, Integer> before = shards(all.subList(0, 960));
    Map<Endpoint, Integer> sameShards = shards(all.subList(0, 959));
    Map<Endpoint, Integer> moreShards = shards(all.subList(0, 961));
    assertEquals(countMoved(sameShards, before), 0);
    long moved = countMoved(before, moreShards);
    assertTrue(moved > 0 && moved < 2 * 960 / 16, "moved " + moved);
  }

  @Test
  public void targetsAreSpreadEvenlyOverShards() {
    List<TargetSpec> targets = RoutingFixture.service(1_000).targets().subList(0, 1_000);
    ShardAssignment.split(targets)
        .values()
        .forEach(shard -> assertTrue(shard.size() > 32 && shard.size() < 128, "" + shard.size()));
  }

  private static Set<String> zones(PoolMap map, String route) {
    Configuration configuration = configuration(Set.of(), GATEWAY);
    RouteMatch match = RouteTables.of(configuration).byName("g", route).orElseThrow();
    return map.candidates(match).stream()
        .map(pool -> pool.place().zone().value())
        .collect(Collectors.toSet());
  }

  private static Map<Endpoint, Integer> shards(List<TargetSpec> targets) {
    Map<Endpoint, Integer> shards = new HashMap<>();
    ShardAssignment.split(targets)
        .forEach((shard, members) -> members.forEach(each -> shards.put(each.address(), shard)));
    return shards;
  }

  private static long countMoved(Map<Endpoint, Integer> before, Map<Endpoint, Integer> after) {
    return before.keySet().stream().filter(e -> !before.get(e).equals(after.get(e))).count();
  }
}
