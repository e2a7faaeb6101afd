package review3;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Case: a request that crashes its upstreams comes again after the seed machines are gone. */
public final class CrashWithoutSeeds {
  private static final int DEADLINE_MILLIS = 2_500;
  private static final int SEEDS = 3;
  private static final int OTHERS = 4;
  private static final int UPSTREAMS = 10;
  private static final int LIMIT_CRASHES = 3;
  private static final int LIMIT_RETRIES = 3;
  private static final double STABLE_WINDOW = 3.0;
  private static final int REPEATS = 18;
  private static final long REPEAT_PAUSE_MILLIS = 2_000;

  private static final List<Client.Answer> DISPATCHES = new CopyOnWriteArrayList<>();
  private static volatile boolean over;

  private CrashWithoutSeeds() {}

  /** Runs the case; the argument is its folder. */
  public static void main(String[] arguments) {
    Verdict.run(arguments, CrashWithoutSeeds::run);
  }

  private static int run(Lab lab) throws Exception {
    lab.config(
        Lab.state(
            3,
            Lab.route("reads", "/rd/", "idempotent", "shared", 1.0)
                + ","
                + Lab.route("dispatch", "/send/", "non_idempotent", "shared", 1.2),
            Lab.service("shared")));
    List<CrashingUpstream.Crash> crashes = CrashingUpstream.newList();
    for (int i = 0; i < UPSTREAMS; i++) {
      String zone = i % 2 == 0 ? "kozep-a" : "kozep-b";
      Beats.start(lab, lab.add(new CrashingUpstream(lab, "i-" + i, 1, "shared", zone, crashes)));
    }
    for (int i = 0; i < SEEDS + OTHERS; i++) {
      String zone = i % 2 == 0 ? "kozep-a" : "kozep-b";
      lab.addEntry("edge-" + zone + "-" + (i + 1), zone);
    }
    lab.startEntries(SEEDS);
    List<Entry> rest = lab.entries.subList(SEEDS, SEEDS + OTHERS);
    Thread.sleep(3_000);
    if (Verdict.trouble()) {
      for (Entry seed : lab.entries.subList(0, SEEDS)) {
        seed.signal("KILL");
        lab.record.line("kill     %s, for good", seed.name);
      }
    }
    Thread.sleep(5_000);
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      Entry entry = rest.get(i % OTHERS);
      threads.add(Thread.ofVirtual().start(() -> dispatch(lab, entry)));
    }
    Client client = new Client(lab.record);
    for (int i = 0; i < REPEATS; i++) {
      Entry entry = rest.get(i % OTHERS);
      client.send(entry, "GET", "demo.example", "/rd/crash", DEADLINE_MILLIS, new byte[0]);
      Thread.sleep(REPEAT_PAUSE_MILLIS);
    }
    over = true;
    for (Thread thread : threads) {
      thread.join();
    }
    return check(lab, crashes);
  }

  private static int check(Lab lab, List<CrashingUpstream.Crash> crashes) {
    if (crashes.size() < LIMIT_CRASHES) {
      lab.record.line("check    only %d crashes: held", crashes.size());
      return Verdict.HELD;
    }
    double from = crashes.get(LIMIT_CRASHES - 1).atSeconds() + STABLE_WINDOW;
    long retries =
        crashes.stream()
            .filter(crash -> crash.atSeconds() > from)
            .map(CrashingUpstream.Crash::requestId)
            .distinct()
            .count();
    long lost = DISPATCHES.stream().filter(answer -> answer.status() != 200).count();
    boolean broken = retries > LIMIT_RETRIES;
    lab.record.line(
        "check    %d crashes; %d retries reached upstreams later than %.0f s after the third; %d of"
            + " %d dispatches not answered with 200: %s",
        crashes.size(), retries, STABLE_WINDOW, lost, DISPATCHES.size(),
        broken ? "broken" : "held");
    return broken ? Verdict.BROKEN : Verdict.HELD;
  }

  private static void dispatch(Lab lab, Entry entry) {
    Client client = new Client(lab.record);
    try {
      while (!over) {
        DISPATCHES.add(
            client.send(
                entry, "POST", "demo.example", "/send/issue", DEADLINE_MILLIS, new byte[4_000]));
        Thread.sleep(100);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
