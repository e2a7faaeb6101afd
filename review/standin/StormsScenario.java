/** The operator writes many large desired states in quick succession, then one more. */
final class StormsScenario extends Scenario {
  private static final int STORMS = 22;
  private static final int CHANGES_PER_STORM = 25;
  private static final int GAP_MILLIS = 80;
  private static final int PAUSE_MILLIS = 1_000;
  private static final int PROBES_PER_ENTRY = 10;
  private static final int[] ROUTE_COUNTS = {350, 700, 1_050, 1_300};

  private int version = 1;

  StormsScenario(Rig rig, boolean trouble) {
    super(rig, trouble);
  }

  @Override
  boolean broken() throws Exception {
    rig.publish(State.of(version, 0));
    register("reading", "reading", 12, 2, work(50));
    startEntries(4);
    startCallers(16, 200, Caller.Kind.READ);
    Thread.sleep(3_000);
    for (int routes : ROUTE_COUNTS) {
      publishNext(routes);
      Thread.sleep(2_000);
    }
    final long fromNanos = System.nanoTime();
    for (int storm = 0; storm < STORMS; storm++) {
      for (int i = 0; i < CHANGES_PER_STORM; i++) {
        if (trouble) {
          publishNext(ROUTE_COUNTS[ROUTE_COUNTS.length - 1]);
        }
        Thread.sleep(GAP_MILLIS);
      }
      Thread.sleep(PAUSE_MILLIS);
    }
    Thread.sleep(4_000);
    stopCallers();
    logStates();
    answersMissing(fromNanos, READ_TIMEOUT_SECONDS);
    publishNext(ROUTE_COUNTS[ROUTE_COUNTS.length - 1]);
    Thread.sleep(5_000);
    return newestRouteMissing();
  }

  private void publishNext(int routes) {
    version++;
    rig.publishQuietly(State.of(version, routes), version);
  }

  /**
   * CONFIG: a request sent later than config-apply-s (2 s) after the confirmation of a version is
   * refused with 404 though the route is there.
   */
  private boolean newestRouteMissing() {
    int refused = 0;
    for (Rig.Entry entry : entries) {
      for (int i = 0; i < PROBES_PER_ENTRY; i++) {
        String id = "newest-" + entry.name() + "-" + i;
        String result = get(entry, "/latest-" + version + "/x", id);
        rig.log("%s, sent over 5 s after r%d: %s", id, version, result);
        refused += result.equals("404") ? 1 : 0;
      }
    }
    rig.log("refused with 404: %d of %d", refused, PROBES_PER_ENTRY * entries.size());
    return refused > 0;
  }
}
