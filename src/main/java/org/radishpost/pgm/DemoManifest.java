package org.radishpost.pgm;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.GatewayName;
import org.radishpost.lib.Place;
import org.radishpost.lib.RequestKind;
import org.radishpost.lib.ServiceName;
import org.radishpost.lib.TenantName;
import org.radishpost.manifest.ColdStartSpec;
import org.radishpost.manifest.DuplicateGuard;
import org.radishpost.manifest.Manifest;
import org.radishpost.manifest.ProbeSpec;
import org.radishpost.manifest.RouteSpec;
import org.radishpost.manifest.ServiceSpec;
import org.radishpost.manifest.TargetSpec;

/** Creates the manifest of the demo: one service with a route for each kind of request. */
final class DemoManifest {
  /** The tenant that owns the gateway. */
  static final TenantName TENANT = new TenantName("demo-tenant");

  /** The number of calls that each target can run concurrently. */
  static final int SLOTS = 2;

  /** The number of connections that each target accepts. */
  static final int CONNECTIONS = 240;

  private static final ServiceName ARCHIVE = new ServiceName("archive");
  private static final Duration DEADLINE = Duration.ofSeconds(5);
  private static final Duration UPLOAD_DEADLINE = Duration.ofMinutes(5);
  private static final long SMALL_BODY_BYTES = 1L << 20;
  private static final long LARGE_BODY_BYTES = 4L << 30;

  private DemoManifest() {}

  /** Returns a manifest with the given targets. */
  static Manifest of(List<PlacedTarget> targets) {
    ServiceSpec service =
        new ServiceSpec(
            ARCHIVE,
            targets.stream()
                .map(t -> new TargetSpec(t.address(), t.place(), SLOTS, CONNECTIONS))
                .toList(),
            new ColdStartSpec(2, 20, Duration.ofSeconds(5)),
            new ProbeSpec("/load", Duration.ofMillis(6), Duration.ofSeconds(1)),
            30);
    return new Manifest(
        new GatewayName("demo"),
        TENANT,
        0,
        List.of(service),
        List.of(
            route("dispatch", Set.of("POST"), "/dispatch", RequestKind.COMMIT, DuplicateGuard.KEY),
            route(
                "upload",
                Set.of("PUT"),
                "/",
                RequestKind.UPLOAD,
                DuplicateGuard.CALLERS_NEVER_RESEND),
            route("read", Set.of("GET", "HEAD"), "/", RequestKind.READ, DuplicateGuard.NONE)));
  }

  private static RouteSpec route(
      String name, Set<String> methods, String path, RequestKind kind, DuplicateGuard guard) {
    boolean upload = kind == RequestKind.UPLOAD;
    return new RouteSpec(
        name,
        "",
        methods,
        path,
        ARCHIVE,
        kind,
        kind == RequestKind.COMMIT ? 10 : 1,
        guard == DuplicateGuard.NONE,
        upload ? UPLOAD_DEADLINE : DEADLINE,
        upload ? LARGE_BODY_BYTES : SMALL_BODY_BYTES,
        Set.of(),
        guard);
  }

  /**
   * A target with its place.
   *
   * @param address the address of the target
   * @param place the region and zone of the target
   */
  record PlacedTarget(Endpoint address, Place place) {}
}
