package review;

import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;

/**
 * The store comes back from a copy that is 3 s old, and the operator goes on: each entry must serve
 * the route of the newest desired state.
 */
final class RestoredStore implements Scenario {
  private static final double COPY_AGE_SECONDS = 3;
  private static final double AWAY_SECONDS = 1;

  /** The pause between two desired states that come in quick succession. */
  private static final long NEXT_VERSION_MILLIS = 80;

  /** config-apply-s, stretch-max-s and stable-window-s, one after the other. */
  private static final double CALM_SECONDS = 2 + 5 + 3;

  private static final double CHECK_SECONDS = 6;

  public static void main(String[] arguments) throws Exception {
    Scenario.run(new RestoredStore(), arguments[0]);
  }

  @Override
  public String firstDesiredState() {
    return Deployment.desiredState(11, "/base/");
  }

  @Override
  public boolean isBroken(Deployment deployment, Record record, boolean trouble) throws Exception {
    Thread.sleep(3_000);
    final long copyNanos = System.nanoTime();
    final double copySeconds = record.seconds();
    Thread.sleep(500);
    deployment.publish(Deployment.desiredState(12, "/base/", "/added-12/"), "r12");
    Thread.sleep(1_000);
    String newest = Deployment.desiredState(13, "/base/", "/added-12/", "/added-13/");
    deployment.publish(newest, "r13");
    Scenario.sleepUntil(record, copySeconds + COPY_AGE_SECONDS);
    if (trouble) {
      record.add("store: away");
      deployment.store().close();
      Thread.sleep(Math.round(AWAY_SECONDS * 1000));
      deployment.store().restoreCopyOf(copyNanos);
      deployment.store().open();
      record.add("store: back, from a copy of %.3f", copySeconds);
      deployment.publish(newest, "r13 again");
      deployment.upstreams().forEach(Upstream::report);
      record.add("upstreams: entries written again");
      Thread.sleep(NEXT_VERSION_MILLIS);
    }
    deployment.publish(
        Deployment.desiredState(14, "/base/", "/added-12/", "/added-13/", "/added-14/"), "r14");
    final double confirmed = record.seconds();
    Scenario.sleepUntil(record, confirmed + CALM_SECONDS);
    int readsBefore = deployment.store().reads();
    boolean broken = checkEntries(deployment, record);
    record.add("store: %d reads answered meanwhile", deployment.store().reads() - readsBefore);
    return broken;
  }

  private static boolean checkEntries(Deployment deployment, Record record) throws Exception {
    double end = record.seconds() + CHECK_SECONDS;
    Map<String, Integer> counts = new TreeMap<>();
    boolean broken = false;
    for (int number = 0; record.seconds() < end; number++) {
      for (EntryProcess entry : deployment.entries()) {
        for (String prefix : new String[] {"/base/", "/added-14/"}) {
          String status = status(entry, prefix + number, entry.name() + prefix + number);
          record.add("client: sent %s%d to %s, answered %s", prefix, number, entry.name(), status);
          counts.merge(entry.name() + " " + prefix + " " + status, 1, Integer::sum);
          broken |= prefix.equals("/added-14/") && status.equals("404");
        }
      }
      Thread.sleep(200);
    }
    counts.forEach((what, count) -> record.add("%s: %d", what, count));
    return broken;
  }

  private static String status(EntryProcess entry, String path, String requestId) {
    try {
      return String.valueOf(
          Client.send(entry.front(), "GET", path, Deployment.HOST, requestId, new byte[0])
              .status());
    } catch (IOException e) {
      return "lost";
    }
  }
}
