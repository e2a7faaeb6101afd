package review3;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Case: an upstream leaves, and the store then carries out one of its earlier writes, the answer to
 * which was lost.
 */
public final class LateEntry {
  private static final int DEADLINE_MILLIS = 2_500;
  private static final double DRAIN_TIMEOUT = 2.0;
  private static final double LATE_AFTER = 5.2;
  private static final double LEAVE_AFTER = 3.4;
  private static final double SERVES_ON = DRAIN_TIMEOUT + 1.5;
  private static final double SILENCE = 3 * Beats.INTERVAL_MILLIS / 1_000.0;
  private static final double END = 12;
  private static final int CLIENTS = 12;

  private static final List<Client.Answer> ANSWERS = new CopyOnWriteArrayList<>();

  private LateEntry() {}

  /** Runs the case; the argument is its folder. */
  public static void main(String[] arguments) {
    Verdict.run(arguments, LateEntry::run);
  }

  private static int run(Lab lab) throws Exception {
    lab.config(
        Lab.state(
            3,
            Lab.route("dispatch", "/send/", "non_idempotent", "dispatch", 1.2),
            Lab.service("dispatch")));
    for (int i = 0; i < 3; i++) {
      String zone = i == 0 ? "kozep-a" : "kozep-b";
      Beats.start(
          lab, lab.add(new Upstream(lab.record, lab.nextIp(), "i-" + i, "dispatch", zone, 2, 120)));
    }
    Upstream leaving =
        lab.add(new Upstream(lab.record, lab.nextIp(), "i-leaves", "dispatch", "kozep-a", 2, 120));
    Beats.start(lab, leaving);
    lab.addEntry("edge-kozep-a-1", "kozep-a");
    lab.addEntry("edge-kozep-a-2", "kozep-a");
    lab.addEntry("edge-kozep-b-1", "kozep-b");
    lab.startEntries(2);
    double start = lab.record.now() + 3;
    for (int i = 0; i < CLIENTS; i++) {
      Entry entry = lab.entries.get(i % lab.entries.size());
      Thread.ofVirtual().start(() -> dispatch(lab, entry, start + END));
    }

    sleepUntil(lab, start);
    String lateWrite = leaving.entry("ready");
    lab.record.line("beat     of i-leaves, whose answer is lost: %s", lateWrite);
    if (!Verdict.trouble()) {
      lab.store.put(Upstream.TOPIC, leaving.id, lateWrite);
    }
    sleepUntil(lab, start + LEAVE_AFTER);
    leaving.left = true;
    lab.store.delete(Upstream.TOPIC, leaving.id);
    double left = lab.record.now();
    lab.record.line("left     i-leaves has removed its entry; the store has acknowledged it");
    sleepUntil(lab, start + LATE_AFTER);
    if (Verdict.trouble()) {
      lab.store.put(Upstream.TOPIC, leaving.id, lateWrite);
      lab.record.line("late     the store carries out the lost write");
    }
    sleepUntil(lab, left + SERVES_ON);
    leaving.close();
    lab.record.line("exit     i-leaves");
    sleepUntil(lab, start + LATE_AFTER + SILENCE);
    lab.store.delete(Upstream.TOPIC, leaving.id);
    lab.record.line("expired  the entry of i-leaves");
    sleepUntil(lab, start + END + 3);

    for (Entry entry : lab.entries) {
      List<String> log = lab.log(entry).lines().toList();
      lab.record.line(
          "log      %s: i-leaves registered %d times, gone %d times",
          entry.name, count(log, "TARGET_REGISTERED"), count(log, "TARGET_GONE"));
    }
    List<Upstream.Run> after =
        leaving.runs.stream().filter(run -> run.arrivedSeconds() > left + DRAIN_TIMEOUT).toList();
    long lost =
        after.stream().filter(run -> ANSWERS.stream().anyMatch(answer -> isLost(answer, run))).count();
    lab.record.line(
        "check    %d requests reached i-leaves later than %.1f s after it had left; %d of them began"
            + " to run and got no answer of an upstream: %s",
        after.size(), DRAIN_TIMEOUT, lost, after.isEmpty() ? "held" : "broken");
    return after.isEmpty() ? Verdict.HELD : Verdict.BROKEN;
  }

  private static long count(List<String> log, String event) {
    return log.stream()
        .filter(line -> line.contains(event) && line.contains("\"i-leaves\""))
        .count();
  }

  private static boolean isLost(Client.Answer answer, Upstream.Run run) {
    return answer.requestId().equals(run.requestId()) && answer.status() != 200;
  }

  private static void dispatch(Lab lab, Entry entry, double until) {
    Client client = new Client(lab.record);
    try {
      while (lab.record.now() < until) {
        ANSWERS.add(
            client.send(
                entry, "POST", "demo.example", "/send/issue", DEADLINE_MILLIS, new byte[4_000]));
        Thread.sleep(100);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void sleepUntil(Lab lab, double seconds) throws InterruptedException {
    Thread.sleep((long) (1000 * Math.max(0, seconds - lab.record.now())));
  }
}
