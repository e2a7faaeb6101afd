package review3;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Case: a zone is lost, and its clients upload through the entry of the other zone. */
public final class ZoneLossUploads {
  private static final int CLIENTS_PER_ZONE = 48;
  private static final int READERS_PER_ZONE = 6;
  private static final int BODY_BYTES = 1_100_000;
  private static final int DEADLINE_MILLIS = 2_500;
  private static final double UPLOAD_TIMEOUT = 1.8;
  private static final double READ_TIMEOUT = 1.0;
  private static final double SLACK = 0.5;
  private static final long READ_PAUSE_MILLIS = 400;
  private static final long RETRY_PAUSE_MILLIS = 200;
  private static final int MIN_LATE = 8;
  private static final double LOSS_AT = 8;
  private static final double LOSS_SECONDS = 5.5;
  private static final double END = 24;

  private static final byte[] BODY = new byte[BODY_BYTES];
  private static final List<Client.Answer> UPLOADS = new CopyOnWriteArrayList<>();
  private static final List<Client.Answer> READS = new CopyOnWriteArrayList<>();

  private ZoneLossUploads() {}

  /** Runs the case; the argument is its folder. */
  public static void main(String[] arguments) {
    Verdict.run(arguments, ZoneLossUploads::run);
  }

  private static int run(Lab lab) throws Exception {
    lab.config(
        Lab.state(
            3,
            Lab.route("uploads", "/up/", "upload", "proofs", UPLOAD_TIMEOUT)
                + ","
                + Lab.route("reads", "/rd/", "idempotent", "lists", READ_TIMEOUT),
            Lab.service("proofs") + "," + Lab.service("lists")));
    for (int i = 0; i < 6; i++) {
      Beats.start(
          lab,
          lab.add(new Upstream(lab.record, lab.nextIp(), "i-p" + i, "proofs", "kozep-a", 2, 110)));
      Beats.start(
          lab, lab.add(new Upstream(lab.record, lab.nextIp(), "i-l" + i, "lists", "kozep-a", 2, 90)));
    }
    Entry staying = lab.addEntry("edge-kozep-a-1", "kozep-a");
    Entry lost = lab.addEntry("edge-kozep-b-1", "kozep-b");
    lab.startEntries(1);
    Balancer balancer = new Balancer(lab);
    balancer.start();
    warmUp(lab);
    double start = lab.record.now();
    List<Thread> threads = new CopyOnWriteArrayList<>();
    for (Entry zone : lab.entries) {
      for (int i = 0; i < CLIENTS_PER_ZONE; i++) {
        threads.add(upload(lab, balancer, zone, staying, start + 0.04 * i, start + END));
      }
      for (int i = 0; i < READERS_PER_ZONE; i++) {
        threads.add(read(lab, balancer, zone, staying, start + 0.06 * i, start + END));
      }
    }
    if (Verdict.trouble()) {
      loseZone(lab, lost, start);
    }
    for (Thread thread : threads) {
      thread.join();
    }
    boolean brokenByUploads = broken(lab, "uploads", UPLOADS, UPLOAD_TIMEOUT);
    boolean brokenByReads = broken(lab, "reads", READS, READ_TIMEOUT);
    lab.record.line(
        "log      %d lines of %s name OutOfMemoryError",
        lab.log(staying).lines().filter(line -> line.contains("OutOfMemoryError")).count(),
        staying.name);
    return brokenByUploads || brokenByReads ? Verdict.BROKEN : Verdict.HELD;
  }

  private static void warmUp(Lab lab) throws InterruptedException {
    Client client = new Client(lab.record);
    for (int i = 0; i < 10; i++) {
      for (Entry entry : lab.entries) {
        client.send(entry, "GET", "demo.example", "/rd/first", DEADLINE_MILLIS, new byte[0]);
      }
    }
  }

  private static void loseZone(Lab lab, Entry lost, double start) throws Exception {
    sleepUntil(lab, start + LOSS_AT);
    lost.signal("KILL");
    lab.record.line("loss     zone kozep-b loses power: %s is killed", lost.name);
    sleepUntil(lab, start + LOSS_AT + LOSS_SECONDS);
    lost.start(List.of(lab.entries.getFirst().controlAddress()));
    lab.record.line("loss     zone kozep-b is back");
  }

  /** Uploads all the time; answers of the machine that is not lost are kept. */
  private static Thread upload(
      Lab lab, Balancer balancer, Entry zone, Entry staying, double from, double until) {
    return repeat(
        lab, from, until, 0,
        client -> {
          Entry entry = balancer.entryFor(zone);
          Client.Answer answer =
              client.send(entry, "POST", "demo.example", "/up/proof", DEADLINE_MILLIS, BODY);
          keep(UPLOADS, answer, entry, staying);
          if (answer.status() == 0) {
            Thread.sleep(RETRY_PAUSE_MILLIS);
          }
        });
  }

  private static Thread read(
      Lab lab, Balancer balancer, Entry zone, Entry staying, double from, double until) {
    return repeat(
        lab, from, until, READ_PAUSE_MILLIS,
        client -> {
          Entry entry = balancer.entryFor(zone);
          Client.Answer answer =
              client.send(
                  entry, "GET", "demo.example", "/rd/list", DEADLINE_MILLIS, new byte[0]);
          keep(READS, answer, entry, staying);
        });
  }

  private static void keep(
      List<Client.Answer> answers, Client.Answer answer, Entry entry, Entry staying) {
    if (entry == staying) {
      answers.add(answer);
    }
  }

  private interface Step {
    void run(Client client) throws InterruptedException;
  }

  private static Thread repeat(Lab lab, double from, double until, long pauseMillis, Step step) {
    Client client = new Client(lab.record);
    return Thread.ofVirtual()
        .start(
            () -> {
              try {
                sleepUntil(lab, from);
                while (lab.record.now() < until) {
                  step.run(client);
                  Thread.sleep(pauseMillis);
                }
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
  }

  private static void sleepUntil(Lab lab, double seconds) throws InterruptedException {
    Thread.sleep((long) (1000 * Math.max(0, seconds - lab.record.now())));
  }

  /** Checks the rule CONFIG for the requests of one route at the machine that is not lost. */
  private static boolean broken(
      Lab lab, String route, List<Client.Answer> answers, double timeout) {
    long unanswered = answers.stream().filter(answer -> answer.seconds() > timeout).count();
    long late = answers.stream().filter(answer -> answer.seconds() > timeout + SLACK).count();
    boolean broken = late >= MIN_LATE && late * 2 > unanswered;
    lab.record.line(
        "check    %s: %d requests, %d with 200, %d unanswered at %.1f s, %d of them still at %.1f s:"
            + " %s",
        route,
        answers.size(),
        answers.stream().filter(answer -> answer.status() == 200).count(),
        unanswered,
        timeout,
        late,
        timeout + SLACK,
        broken ? "broken" : "held");
    return broken;
  }
}
