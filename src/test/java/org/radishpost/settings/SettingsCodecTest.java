package org.radishpost.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.time.Duration;
import java.util.List;
import org.radishpost.errors.SettingsException;
import org.radishpost.errors.SettingsFault;
import org.radishpost.lib.JsonDocument;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that each fault of the settings is reported with its path, and that defaults come from the
 * schema.
 */
public class SettingsCodecTest {
  private static final JsonDocument VALID =
      JsonDocument.load(SettingsCodecTest.class, "valid.json");
  private final SettingsCodec codec = new SettingsCodec();

  @Test
  public void omittedMembersGetSchemaDefaults() throws SettingsException {
    NodeSettings settings = decode(VALID);
    assertEquals(settings.limits().headerBytes(), 8_192);
    assertEquals(settings.limits().replayBytes(), 65_536);
    assertEquals(settings.shutdown().drainLimit(), Duration.ofMinutes(5));
    assertEquals(settings.balancing(), NodeSettings.Balancing.OWNER);
    assertEquals(settings.logFormat(), NodeSettings.LogFormat.JSON);
  }

  /** Text of the valid settings, its replacement, and the paths of the faults. */
  @DataProvider
  public Object[][] faulty() {
    return new Object[][] {
      {"\"zone\": \"kozep-1\",", "", "zone"},
      {"\"vm\": \"kozep-1-a\"", "\"vm\": \" \"", "vm"},
      {"\"vm\":", "\"color\": 1, \"vm\":", "color"},
      {"\"edge\": \"127.0.1.1:8080\"", "\"edge\": \"edge.example:8080\"", "edge"},
      {"\"edge\": \"127.0.1.1:8080\"", "\"edge\": \"127.0.1.256:8080\"", "edge"},
      {"\"edge\": \"127.0.1.1:8080\"", "\"edge\": \"127.0.1.1:65536\"", "edge"},
      {"\"admin\": \"127.0.1.1:8083\"", "\"admin\": \"127.0.1.1:8080\"", "admin"},
      {"\"admin\": \"127.0.1.1:8083\"", "\"admin\": \"0.0.0.0:8080\"", "admin"},
      {"\"link\": \"127.0.1.1:8082\"", "\"link\": \"0.0.0.0:8082\"", "link"},
      {"127.0.0.1:7001", "127.0.1.1:8083", "platform.log"},
      {"127.0.0.1:7001", "127.0.0.1:0", "platform.log"},
      {"\"log\":", "\"store\":", "platform.log,platform.store"},
      {"RADISHPOST_HOME_KEY", "RADISHPOST_LINK_KEY", "homeKeyEnv"},
      {"\"publish:szaklap\"", "\"publish\"", "tokens[0].scopes[1]"},
      {"\"publish:szaklap\"", "\"read\"", "tokens[0].scopes"},
      {"{\"headerBytes\": 8192}", "{\"headerBytes\": 100}", "limits.headerBytes"},
      {"{\"headerBytes\": 8192}", "{\"headerBytes\": \"8k\"}", "limits.headerBytes"},
      {"{\"headerBytes\": 8192}", "{\"slowSenderSeconds\": 10}", "limits.slowSenderSeconds"},
      {"{\"headerBytes\": 8192}", "{\"connections\": 9}", "limits.callerConnections"},
      {"\"limits\":", "\"balancing\": \"RANDOM\", \"limits\":", "balancing"},
      {VALID.text(), "[]", ""},
      {VALID.text(), "", ""},
    };
  }

  @Test(dataProvider = "faulty")
  public void faultIsReportedWithItsPath(String text, String replacement, String paths) {
    List<SettingsFault> faults = expectRejected(VALID.replaceFirst(text, replacement)).faults();
    assertEquals(
        String.join(",", faults.stream().map(SettingsFault::path).sorted().toList()), paths);
    assertTrue(faults.stream().allMatch(f -> f.message().length() > 20), faults.toString());
  }

  @Test
  public void allFaultsAreReportedTogether() {
    JsonDocument json =
        VALID.replaceFirst("\"zone\": \"kozep-1\",", "").replaceFirst("127.0.1.1:8080", "edge:1");
    assertEquals(expectRejected(json).faults().size(), 2);
  }

  @Test
  public void portZeroMayBeUsedSeveralTimes() throws SettingsException {
    NodeSettings settings =
        decode(new JsonDocument(VALID.text().replaceAll("127.0.1.1:808.", "127.0.0.1:0")));
    assertEquals(settings.edge(), settings.admin());
  }

  /** Text of the valid settings and a secret that replaces it. */
  @DataProvider
  public Object[][] secrets() {
    return new Object[][] {
      {"\"RADISHPOST_LINK_KEY\"", "\"hunter2\""},
      {"\"RADISHPOST_LINK_KEY\"", "hunter2"},
      {"\"9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08\"", "\"hunter2\""},
      {"\"publish:szaklap\"", "\"hunter2\""},
    };
  }

  @Test(dataProvider = "secrets")
  public void misplacedSecretIsNotPrinted(String text, String replacement) {
    assertFalse(
        expectRejected(VALID.replaceFirst(text, replacement)).getMessage().contains("hunter2"));
  }

  private NodeSettings decode(JsonDocument json) throws SettingsException {
    return codec.decode(json.bytes());
  }

  private SettingsException expectRejected(JsonDocument json) {
    return expectThrows(SettingsException.class, () -> decode(json));
  }
}
