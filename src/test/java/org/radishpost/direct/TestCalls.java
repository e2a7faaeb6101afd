package org.radishpost.direct;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.radishpost.config.VersionedManifest;
import org.radishpost.http.Call;
import org.radishpost.http.CallBody;
import org.radishpost.http.RequestHead;
import org.radishpost.lib.CallId;
import org.radishpost.lib.CallInfo;
import org.radishpost.lib.GatewayName;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.RequestKind;
import org.radishpost.lib.ServiceName;
import org.radishpost.lib.TenantName;
import org.radishpost.manifest.DuplicateGuard;
import org.radishpost.manifest.Manifest;
import org.radishpost.manifest.RoutePolicy;
import org.radishpost.manifest.RouteSpec;
import org.radishpost.routing.RouteMatch;
import reactor.core.scheduler.Scheduler;

/** Creates calls to the service of {@link org.radishpost.placement.TestTargets}. */
final class TestCalls {
  static final ServiceName SERVICE = new ServiceName("s");
  private static final GatewayName GATEWAY = new GatewayName("g");
  private static final TenantName TENANT = new TenantName("t");

  private TestCalls() {}

  /**
   * Returns a call without a body.
   *
   * @param idempotent whether it may run more than once
   * @param homes the regions in which it may run; empty means all
   * @param targetLatency the time within which a response is wanted
   * @param timeout the time until its deadline
   * @param clock provides the time
   */
  static Call create(
      boolean idempotent,
      Set<RegionName> homes,
      Duration targetLatency,
      Duration timeout,
      Scheduler clock) {
    RouteSpec route = route(idempotent, homes, targetLatency, timeout);
    Manifest manifest = new Manifest(GATEWAY, TENANT, 0, List.of(), List.of(route));
    CallInfo info =
        new CallInfo(
            new CallId(1),
            GATEWAY,
            route.name(),
            SERVICE,
            TENANT,
            route.kind(),
            1,
            idempotent,
            clock.now(TimeUnit.NANOSECONDS) + timeout.toNanos(),
            0,
            homes,
            Optional.empty(),
            0);
    return new Call(
        info,
        new RouteMatch(new VersionedManifest(1, manifest), route, null),
        RequestHead.get("/x"),
        CallBody.buffered(new byte[0]),
        Optional.empty(),
        0);
  }

  private static RouteSpec route(
      boolean idempotent, Set<RegionName> homes, Duration targetLatency, Duration timeout) {
    return new RouteSpec(
        "r",
        "h",
        Set.of("GET"),
        "/",
        SERVICE,
        idempotent ? RequestKind.READ : RequestKind.COMMIT,
        1,
        idempotent,
        timeout,
        1_000,
        homes,
        DuplicateGuard.NONE,
        new RoutePolicy(Optional.of(targetLatency), 2, 1, List.of()));
  }
}
