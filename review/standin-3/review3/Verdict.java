package review3;

/** The exit codes of a case's program; run.sh turns them into its own. */
final class Verdict {
  static final int HELD = 0;
  static final int COULD_NOT_RUN = 2;

  /** Not 1, which is what the JVM ends with when it could not run the program. */
  static final int BROKEN = 10;

  private Verdict() {}

  /** Returns whether the case runs with its disruption. */
  static boolean trouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  /** What a case does; returns its exit code. */
  interface Case {
    int run(Lab lab) throws Exception;
  }

  /** Runs a case and ends the process with its exit code. */
  static void run(String[] arguments, Case body) {
    int code = COULD_NOT_RUN;
    try (Lab lab = new Lab(java.nio.file.Path.of(arguments[0]))) {
      code = body.run(lab);
      lab.record.line("verdict  %s", code == HELD ? "the rule held" : "the rule was broken");
    } catch (Throwable e) {
      e.printStackTrace();
    }
    System.exit(code);
  }
}
