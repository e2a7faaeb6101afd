/** Desired states as the operator writes them. */
final class State {
  private static final String SERVICE =
      "{\"health-path\":\"/healthz\",\"max-conns\":240,\"protocol\":\"h1\",\"tls\":false,"
          + "\"warmup-s\":3.0,\"warmup-per-s\":5.0}";

  private State() {}

  /** Returns a desired state with reads, writes, uploads and some more routes of reads. */
  static String of(int version, int moreRoutes) {
    StringBuilder routes = new StringBuilder();
    routes.append(route("reads", "/reads/", "idempotent", 1.0, 0.25, "reading"));
    routes.append(",").append(route("writes", "/writes/", "non_idempotent", 1.2, 0.3, "writing"));
    routes.append(",").append(route("uploads", "/uploads/", "upload", 2.5, 2.4, "taking"));
    String newest = "/latest-" + version + "/";
    routes.append(",").append(route("latest", newest, "idempotent", 1.0, 0.25, "reading"));
    for (int i = 0; i < moreRoutes; i++) {
      String prefix = "/more-" + i + "/";
      routes.append(",").append(route("more-" + i, prefix, "idempotent", 1.0, 0.25, "reading"));
    }
    return """
        {"version":"r%d","routes":{%s},"services":{"reading":%s,"writing":%s,"taking":%s},\
        "limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,\
        "idle-timeout-s":15},"base-version":"r%d"}"""
        .formatted(version, routes, SERVICE, SERVICE, SERVICE, version - 1);
  }

  private static String route(
      String name,
      String prefix,
      String kind,
      double timeoutSeconds,
      double targetLatencySeconds,
      String service) {
    return """
        "%s":{"host":"%s","path-prefix":"%s","kind":"%s","timeout-s":%s,"target-latency-s":%s,\
        "priority":2,"service":"%s","max-attempts":2,"allowed-regions":[]}"""
        .formatted(name, Rig.HOST, prefix, kind, timeoutSeconds, targetLatencySeconds, service);
  }
}
