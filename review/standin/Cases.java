import java.nio.file.Path;

/** Runs the script of a case. Exit code: 1 the rule was broken, 0 it held, 2 it couldn't run. */
final class Cases {
  private Cases() {}

  public static void main(String[] arguments) {
    int code = 2;
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    try (Rig rig = new Rig(Path.of(arguments[0]))) {
      Scenario scenario =
          switch (arguments[1]) {
            case "uploads" -> new UploadsScenario(rig, trouble);
            case "failures" -> new FailuresScenario(rig, trouble);
            case "storms" -> new StormsScenario(rig, trouble);
            case "hangs" -> new HangsScenario(rig, trouble);
            case "crashes" -> new CrashesScenario(rig, trouble);
            default -> throw new IllegalArgumentException(arguments[1]);
          };
      boolean broken = scenario.broken();
      rig.log("verdict: %s", broken ? "broken" : "held");
      System.out.println(broken ? "broken" : "held");
      code = broken ? 1 : 0;
    } catch (Throwable e) {
      e.printStackTrace();
    }
    System.exit(code);
  }
}
