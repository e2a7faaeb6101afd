package org.radishpost.pool;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.radishpost.lib.CallId;
import org.radishpost.lib.CallInfo;
import org.radishpost.lib.Digest;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.GatewayName;
import org.radishpost.lib.Place;
import org.radishpost.lib.PoolId;
import org.radishpost.lib.RequestKind;
import org.radishpost.lib.ServiceName;
import org.radishpost.lib.TenantName;
import org.radishpost.lib.VmId;
import org.radishpost.manifest.ColdStartSpec;
import org.radishpost.manifest.ProbeSpec;
import org.radishpost.manifest.ServiceSpec;
import org.radishpost.manifest.TargetSpec;
import org.radishpost.suspects.SuspectRegistry;

/** Test data shared by the pool tests. */
final class PoolFixture {
  static final long NANOS_PER_MILLI = 1_000_000L;
  static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLI;
  static final GatewayName GATEWAY = new GatewayName("grain");
  static final ServiceName SERVICE = new ServiceName("lookup");
  static final Place PLACE = Place.of("granite-belt", "granite-belt-1");
  static final PoolId POOL = new PoolId(GATEWAY, SERVICE, PLACE, 0);
  static final ColdStartSpec COLD_START = new ColdStartSpec(2, 20, Duration.ofSeconds(5));
  static final Duration PROBE_INTERVAL = Duration.ofSeconds(1);

  private PoolFixture() {}

  static Endpoint address(int number) {
    return new Endpoint("127.0.0.1", 9000 + number);
  }

  static ServiceSpec service(int count, int slots, int ejectPercent) {
    List<TargetSpec> targets = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      targets.add(new TargetSpec(address(i), PLACE, slots, 240));
    }
    ProbeSpec probe = new ProbeSpec("/load", Duration.ofMillis(6), PROBE_INTERVAL);
    return new ServiceSpec(SERVICE, targets, COLD_START, probe, ejectPercent);
  }

  static CallInfo call(long id, String tenant, int weight, long deadlineNanos) {
    return new CallInfo(
        new CallId(id),
        GATEWAY,
        "read",
        SERVICE,
        new TenantName(tenant),
        RequestKind.READ,
        weight,
        true,
        deadlineNanos,
        0,
        Set.of(),
        Optional.of(Digest.of("request " + id)),
        0);
  }

  static TargetOutcome response(long serviceNanos, String incarnation, int warmPercent) {
    LoadReport report = new LoadReport(1, 2, warmPercent, incarnation, false);
    return new TargetOutcome.Responded(200, Optional.of(report), serviceNanos);
  }

  static SuspectRegistry suspects() {
    return new SuspectRegistry(new VmId("vm-1"), (regions, fingerprint, points) -> {});
  }
}
