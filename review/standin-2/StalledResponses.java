package review;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * One of seven upstreams at a time hangs within part of its responses, which are larger than an
 * entry buffers: each request must have its final answer half a second after the timeout of its
 * route.
 */
final class StalledResponses implements Scenario {
  private static final int RESPONSE_BYTES = 400_000;
  private static final int WORK_MILLIS = 90;
  private static final double HANGING_SHARE = 0.4;
  private static final int PERIODS = 5;
  private static final double PERIOD_SECONDS = 5;
  private static final long CALM_MILLIS = 3_500;
  private static final long REQUEST_PAUSE_MILLIS = 10;

  /** The timeout of the route; the deadline of the client is twice as long. */
  private static final double TIMEOUT_SECONDS = 1;

  private static final double MAX_EXCESS_SECONDS = 0.5;
  private static final int MIN_UNANSWERED = 8;
  private static final double MAX_UNANSWERED_SHARE = 0.25;

  /**
   * A request.
   *
   * @param seconds the time until its final answer
   * @param answered whether there was a final answer, which may be the end of the connection
   */
  private record Outcome(double seconds, boolean answered) {
    private boolean lastsLonger() {
      return !answered || seconds > TIMEOUT_SECONDS;
    }

    private boolean unanswered() {
      return !answered || seconds > TIMEOUT_SECONDS + MAX_EXCESS_SECONDS;
    }
  }

  public static void main(String[] arguments) throws Exception {
    Scenario.run(new StalledResponses(), arguments[0]);
  }

  @Override
  public String firstDesiredState() {
    return Deployment.desiredState(11, "/base/");
  }

  @Override
  public boolean isBroken(Deployment deployment, Record record, boolean trouble) throws Exception {
    for (Upstream upstream : deployment.upstreams()) {
      upstream.setResponseBytes(RESPONSE_BYTES);
      upstream.setWorkMillis(WORK_MILLIS);
    }
    Thread.sleep(CALM_MILLIS);
    List<Outcome> outcomes = new CopyOnWriteArrayList<>();
    for (int period = 0; period < PERIODS; period++) {
      Upstream hanging = deployment.upstreams().get(period);
      if (trouble) {
        record.add("%s: hangs within %.2f of its responses", hanging.id(), HANGING_SHARE);
        hanging.setHangingShare(HANGING_SHARE);
      }
      sendRequests(deployment, record, period, outcomes);
      hanging.setHangingShare(0);
    }
    Thread.sleep(2L * Client.DEADLINE_MILLIS);
    long longer = outcomes.stream().filter(Outcome::lastsLonger).count();
    long unanswered = outcomes.stream().filter(Outcome::unanswered).count();
    record.add(
        "%d requests, %d last longer than timeout-s, %d of these have no final answer 0.5 s later",
        outcomes.size(), longer, unanswered);
    return unanswered >= MIN_UNANSWERED && unanswered > MAX_UNANSWERED_SHARE * longer;
  }

  private static void sendRequests(
      Deployment deployment, Record record, int period, List<Outcome> outcomes)
      throws InterruptedException {
    double end = record.seconds() + PERIOD_SECONDS;
    for (int number = 0; record.seconds() < end; number++) {
      EntryProcess entry = deployment.entries().get(number % deployment.entries().size());
      String requestId = "q-" + period + "-" + number;
      Thread.ofVirtual().start(() -> outcomes.add(send(entry, requestId, record)));
      Thread.sleep(REQUEST_PAUSE_MILLIS);
    }
  }

  private static Outcome send(EntryProcess entry, String requestId, Record record) {
    double start = record.seconds();
    String what;
    boolean answered = true;
    try {
      Http.Message response =
          Client.send(
              entry.front(), "GET", "/base/" + requestId, Deployment.HOST, requestId, new byte[0]);
      what = "status " + response.status();
    } catch (SocketTimeoutException e) {
      what = "no final answer";
      answered = false;
    } catch (IOException e) {
      what = "the connection ended: " + e.getMessage();
    }
    Outcome outcome = new Outcome(record.seconds() - start, answered);
    record.add(
        "client: %s at %s, %s after %.3f s", requestId, entry.name(), what, outcome.seconds());
    return outcome;
  }
}
