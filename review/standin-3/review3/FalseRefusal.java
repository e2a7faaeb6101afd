package review3;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;

/** Case: an upstream fails part of the dispatches that it has run, with status 408. */
public final class FalseRefusal {
  private static final int DEADLINE_MILLIS = 2_500;
  private static final int REQUEST_TIMEOUT = 408;
  private static final Set<Integer> PROMISES = Set.of(REQUEST_TIMEOUT, 421, 429, 503);
  private static final int UPSTREAMS = 8;
  private static final int CLIENTS = 12;
  private static final int MAX_RETRIES = 2;
  private static final double FAILING_SHARE = 0.45;
  private static final double FAIL_FROM = 4;
  private static final double FAIL_UNTIL = FAIL_FROM + 6.5;
  private static final double END = 12;

  private static final List<Client.Answer> ANSWERS = new CopyOnWriteArrayList<>();

  /** The request ids of each dispatch: the first attempt and its retries. */
  private static final List<List<String>> DISPATCHES = new CopyOnWriteArrayList<>();

  private static volatile boolean failing;

  private FalseRefusal() {}

  /** Runs the case; the argument is its folder. */
  public static void main(String[] arguments) {
    Verdict.run(arguments, FalseRefusal::run);
  }

  private static int run(Lab lab) throws Exception {
    lab.config(
        Lab.state(
            3,
            Lab.route("dispatch", "/send/", "non_idempotent", "dispatch", 1.2),
            Lab.service("dispatch")));
    for (int i = 0; i < UPSTREAMS; i++) {
      Beats.start(lab, lab.add(new FailingUpstream(lab, "i-" + i, i == 0)));
    }
    Entry entry = lab.addEntry("edge-kozep-a-1", "kozep-a");
    lab.startEntries(1);
    double start = lab.record.now();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      threads.add(Thread.ofVirtual().start(() -> dispatchAll(lab.record, entry, start + END)));
    }
    sleepUntil(lab, start + FAIL_FROM);
    failing = Verdict.trouble();
    sleepUntil(lab, start + FAIL_UNTIL);
    failing = false;
    for (Thread thread : threads) {
      thread.join();
    }
    return check(lab);
  }

  private static int check(Lab lab) {
    Set<String> ran = ConcurrentHashMap.newKeySet();
    lab.upstreams.forEach(upstream -> upstream.runs.forEach(run -> ran.add(run.requestId())));
    long refused =
        ANSWERS.stream()
            .filter(answer -> PROMISES.contains(answer.status()))
            .filter(answer -> ran.contains(answer.requestId()))
            .count();
    long doubled =
        DISPATCHES.stream().filter(ids -> ids.stream().filter(ran::contains).count() > 1).count();
    lab.record.line(
        "check    %d requests; %d were answered as not run and had run; %d of %d dispatches ran more"
            + " than once, as their clients trusted the answer: %s",
        ANSWERS.size(), refused, doubled, DISPATCHES.size(), refused > 0 ? "broken" : "held");
    return refused > 0 ? Verdict.BROKEN : Verdict.HELD;
  }

  private static void dispatchAll(Record record, Entry entry, double until) {
    Client client = new Client(record);
    try {
      while (record.now() < until) {
        dispatch(client, entry);
        Thread.sleep(100);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sends a dispatch, and again only after an answer that promises that it has not run. */
  private static void dispatch(Client client, Entry entry) throws InterruptedException {
    List<String> ids = new CopyOnWriteArrayList<>();
    DISPATCHES.add(ids);
    for (int attempt = 0; attempt <= MAX_RETRIES; attempt++) {
      Client.Answer answer =
          client.send(
              entry, "POST", "demo.example", "/send/issue", DEADLINE_MILLIS, new byte[4_000]);
      ANSWERS.add(answer);
      ids.add(answer.requestId());
      if (!PROMISES.contains(answer.status())) {
        return;
      }
      Thread.sleep(200);
    }
  }

  private static void sleepUntil(Lab lab, double seconds) throws InterruptedException {
    Thread.sleep((long) (1000 * Math.max(0, seconds - lab.record.now())));
  }

  /** An upstream that runs all its requests and fails some of them afterwards. */
  private static final class FailingUpstream extends Upstream {
    private final boolean faulty;

    FailingUpstream(Lab lab, String id, boolean faulty) throws IOException {
      super(lab.record, lab.nextIp(), id, "dispatch", "kozep-a", 2, 60);
      this.faulty = faulty;
    }

    @Override
    void answer(OutputStream out, String requestId) throws IOException, InterruptedException {
      if (!faulty || !failing || ThreadLocalRandom.current().nextDouble() >= FAILING_SHARE) {
        super.answer(out, requestId);
        return;
      }
      record.line("fails    %s with %d at %s", requestId, REQUEST_TIMEOUT, id);
      write(
          out,
          REQUEST_TIMEOUT,
          Map.of("X-Request-Id", requestId, "X-Upstream-Signature", "mac." + requestId),
          "the mail server did not answer in time".getBytes());
    }
  }
}
