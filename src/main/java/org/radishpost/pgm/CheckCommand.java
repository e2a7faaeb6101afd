package org.radishpost.pgm;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.radishpost.errors.ManifestException;
import org.radishpost.errors.RadishpostException;
import org.radishpost.errors.SettingsException;
import org.radishpost.errors.SettingsFault;
import org.radishpost.manifest.Manifest;
import org.radishpost.manifest.ManifestCodec;
import org.radishpost.manifest.ManifestFault;
import org.radishpost.manifest.ManifestValidator;
import org.radishpost.settings.SettingsCodec;

/** Validates settings and manifests without a running VM. */
@Command(
    name = "check",
    description = "Check a settings file or a manifest and print every fault with its path.")
public final class CheckCommand extends CliCommand {
  @Option(
      name = {"--settings"},
      title = "FILE",
      description = "A settings file (JSON).")
  private String settings = "";

  @Option(
      name = {"--manifest"},
      title = "FILE",
      description = "A manifest (JSON).")
  private String manifest = "";

  /** Creates the command; called by the command-line parser. */
  public CheckCommand() {}

  @Override
  protected ExitCode run() throws RadishpostException {
    if (settings.isEmpty() && manifest.isEmpty()) {
      throw new SettingsException("Give --settings FILE or --manifest FILE, or both.");
    }
    List<String> faults = new ArrayList<>();
    if (!settings.isEmpty()) {
      settingsFaults(InputFiles.read(Path.of(settings)))
          .forEach(fault -> faults.add(settings + ": " + fault));
    }
    if (!manifest.isEmpty()) {
      manifestFaults(InputFiles.read(Path.of(manifest)))
          .forEach(fault -> faults.add(manifest + ": " + fault));
    }
    faults.forEach(System.err::println);
    return faults.isEmpty() ? ExitCode.OK : ExitCode.USAGE;
  }

  private static List<String> settingsFaults(byte[] document) {
    try {
      new SettingsCodec().decode(document);
      return List.of();
    } catch (SettingsException e) {
      return e.faults().stream().map(SettingsFault::toString).toList();
    }
  }

  private static List<String> manifestFaults(byte[] document) {
    try {
      Manifest manifest = new ManifestCodec().decode(document);
      return new ManifestValidator()
          .faults(manifest).stream().map(ManifestFault::toString).toList();
    } catch (ManifestException e) {
      return List.of(e.getMessage().split("; "));
    }
  }
}
