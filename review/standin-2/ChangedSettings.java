package review;

import java.util.ArrayList;
import java.util.List;

/**
 * Two machines are added, and the settings of some machines change five times while the entries on
 * the new ones start. No entry may end by itself.
 */
final class ChangedSettings implements Scenario {
  private static final int ADDED = 2;
  private static final int CHANGES = 5;

  /** The time from the start of the new entries to the next change. */
  private static final long CHANGE_MILLIS = 60;

  /** The delay after which the platform starts an entry that has ended again. */
  private static final long RESTART_MILLIS = 300;

  private static final long END_MILLIS = 500;
  private static final long CALM_MILLIS = 3_500;

  /** The number of ends of an entry by itself, and of machines with so many, that is a fault. */
  private static final int MAX_OWN_ENDS = 3;

  private static final int MIN_MACHINES = 2;

  public static void main(String[] arguments) throws Exception {
    Scenario.run(new ChangedSettings(), arguments[0]);
  }

  @Override
  public String firstDesiredState() {
    return Deployment.desiredState(11, "/base/");
  }

  @Override
  public boolean isBroken(Deployment deployment, Record record, boolean trouble) throws Exception {
    Thread.sleep(CALM_MILLIS);
    List<EntryProcess> notified = new ArrayList<>(deployment.entries().subList(0, 1));
    List<EntryProcess> added = new ArrayList<>();
    for (int i = 0; i < ADDED; i++) {
      EntryProcess entry = deployment.addEntry();
      deployment.writeSettings(entry, 2);
      added.add(entry);
    }
    notified.addAll(added);
    int[] ownEnds = new int[ADDED];
    for (EntryProcess entry : added) {
      entry.start();
      record.add("%s: added and started", entry.name());
    }
    for (int change = 0; change < CHANGES; change++) {
      Thread.sleep(CHANGE_MILLIS);
      for (EntryProcess entry : notified) {
        deployment.writeSettings(entry, 2 + (change + 1) % 2);
      }
      if (trouble) {
        EntryProcess.hangUp(notified);
      }
      record.add("settings of three machines changed, %s", trouble ? "SIGHUP" : "no signal");
      restartEnded(added, ownEnds, record);
    }
    deployment.awaitReady();
    record.add("all entries are ready");
    int machines = 0;
    for (int i = 0; i < ADDED; i++) {
      record.add("%s: has ended by itself %d times", added.get(i).name(), ownEnds[i]);
      machines += ownEnds[i] >= MAX_OWN_ENDS ? 1 : 0;
    }
    return machines >= MIN_MACHINES;
  }

  /** Starts the entries again that end within a time, as the platform does. */
  private static void restartEnded(List<EntryProcess> entries, int[] ownEnds, Record record)
      throws Exception {
    List<EntryProcess> ended = new ArrayList<>();
    for (int i = 0; i < entries.size(); i++) {
      EntryProcess entry = entries.get(i);
      if (entry.awaitEnd(END_MILLIS)) {
        ownEnds[i]++;
        record.add("%s: has ended by itself, exit code %d", entry.name(), entry.exitCode());
        ended.add(entry);
      }
    }
    Thread.sleep(RESTART_MILLIS);
    for (EntryProcess entry : ended) {
      entry.start();
      record.add("%s: started again", entry.name());
    }
  }
}
