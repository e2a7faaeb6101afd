package review;

import java.nio.file.Path;

/** A case: runs a deployment and checks a rule. */
interface Scenario {
  /**
   * Runs the case.
   *
   * @param trouble whether the disruption happens
   * @return whether the rule was broken
   */
  boolean isBroken(Deployment deployment, Record record, boolean trouble) throws Exception;

  /** Returns the first desired state. */
  String firstDesiredState();

  /**
   * Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
   *
   * @param recordFile the file that receives the record
   */
  static void run(Scenario scenario, String recordFile) throws Exception {
    Record record = new Record();
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    record.add("disruption: %s", trouble ? "yes" : "no");
    int exitCode = 2;
    try (Deployment deployment = new Deployment(record)) {
      deployment.start(scenario.firstDesiredState());
      exitCode = scenario.isBroken(deployment, record, trouble) ? 1 : 0;
      if (!deployment.entries().stream().allMatch(EntryProcess::isAlive)) {
        record.add("an entry has ended");
        exitCode = 2;
      }
    } catch (Exception e) {
      record.add("could not run: %s", e);
    }
    record.add("exit code %d", exitCode);
    record.write(Path.of(recordFile));
    System.out.println("exit code " + exitCode);
    System.exit(exitCode);
  }

  /** Waits until a time of the record. */
  static void sleepUntil(Record record, double seconds) throws InterruptedException {
    Thread.sleep(Math.max(0, Math.round((seconds - record.seconds()) * 1000)));
  }
}
