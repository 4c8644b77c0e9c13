//! Declarations of services, endpoints and customers, read from files under version control.
//!
//! A file is TOML with the tables `services`, `endpoints` and `customers`, each keyed by name. If
//! the path is a directory, all its `*.toml` files are read, and the tables may be split across
//! them.

use std::fmt::Display;
use std::io::Error as IoError;
use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::path::Path;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use indexmap::IndexMap;
use serde::Deserialize;
use serde_with::DeserializeFromStr;
use thiserror::Error as ThisError;
use toml::Spanned;

use crate::Customer;
use crate::CustomerName;
use crate::DomainName;
use crate::Endpoint;
use crate::EndpointName;
use crate::FULL_SHARE_PERMILLE;
use crate::KeySupport;
use crate::Priority;
use crate::Route;
use crate::Service;
use crate::ServiceKind;
use crate::ServiceName;
use crate::TOKEN_HASH_PREFIX;
use crate::Version;
use crate::VersionName;
use crate::VmName;
use crate::is_token_hash;

/// Error in a declaration file.
#[derive(Debug, displaydoc::Display, ThisError)]
pub enum DeclarationError {
    /// {path}: cannot be read: {error}
    Unreadable {
        /// File or directory.
        path: PathBuf,
        /// Cause.
        error: IoError,
    },
    /// {0}: holds no *.toml file
    NoFiles(PathBuf),
    /// {path}:{line}: {key}: {problem}
    Invalid {
        /// Path of the file.
        path: PathBuf,
        /// Line number, from one.
        line: usize,
        /// Key or value that causes the error.
        key: String,
        /// Description of the error and of a valid value.
        problem: String,
    },
}

/// A declared service with the source of its versions' shares.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DeclaredService {
    /// The service; its shares apply if they are declared or the service is new.
    pub service: Service,
    /// Source of the shares.
    pub shares: SharePolicy,
}

/// Source of the shares of a service's versions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SharePolicy {
    /// The file declares the shares.
    Declared,
    /// The file declares none: the shares in force are kept, and only moves change them.
    Kept,
}

/// All declared objects by name.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Declarations {
    /// Declared customers.
    pub customers: IndexMap<CustomerName, Customer>,
    /// Declared endpoints.
    pub endpoints: IndexMap<EndpointName, Endpoint>,
    /// Declared services with the source of their shares.
    pub services: IndexMap<ServiceName, DeclaredService>,
}

impl Declarations {
    /// Reads a file, or all `*.toml` files of a directory in the order of their names.
    ///
    /// # Errors
    ///
    /// Returns the first error with its file, line and key and a description of a valid value.
    pub fn load(path: &Path) -> Result<Self, DeclarationError> {
        let mut sources = Vec::new();
        for path in list_files(path)? {
            let text = std::fs::read_to_string(&path).map_err(|error| unreadable(&path, error))?;
            sources.push((path, text));
        }
        Self::parse(&sources)
    }

    /// Parses the texts of files, given with their paths.
    ///
    /// # Errors
    ///
    /// Returns the first error with its file, line and key and a description of a valid value.
    pub fn parse(sources: &[(PathBuf, String)]) -> Result<Self, DeclarationError> {
        let mut files = Vec::new();
        for (path, text) in sources {
            let source = Source { path, text };
            let file: FileDecl = toml::from_str(text).map_err(|e| source.parse_error(&e))?;
            files.push((source, file));
        }
        let mut all = Self::default();
        for (source, file) in &mut files {
            all.add_services(source, std::mem::take(&mut file.services))?;
        }
        for (source, file) in files {
            all.add_endpoints(&source, file.endpoints)?;
            all.add_customers(&source, file.customers)?;
        }
        Ok(all)
    }

    fn add_services(
        &mut self,
        source: &Source<'_>,
        decls: IndexMap<Spanned<ServiceName>, ServiceDecl>,
    ) -> Result<(), DeclarationError> {
        for (key, decl) in decls {
            let name = key.get_ref().clone();
            source.check_unique(&key, self.services.contains_key(&name))?;
            let declared = decl.validate(source, &key)?;
            self.services.insert(name, declared);
        }
        Ok(())
    }

    fn add_endpoints(
        &mut self,
        source: &Source<'_>,
        decls: IndexMap<Spanned<EndpointName>, EndpointDecl>,
    ) -> Result<(), DeclarationError> {
        for (key, decl) in decls {
            let name = key.get_ref().clone();
            source.check_unique(&key, self.endpoints.contains_key(&name))?;
            self.check_service_and_version(source, &decl)?;
            let endpoint = Endpoint {
                name: name.clone(),
                service: decl.service.into_inner(),
                version: decl.version.into_inner(),
                address: decl.address,
                vm: decl.vm,
                domain: decl.domain,
            };
            self.endpoints.insert(name, endpoint);
        }
        Ok(())
    }

    fn check_service_and_version(
        &self,
        source: &Source<'_>,
        decl: &EndpointDecl,
    ) -> Result<(), DeclarationError> {
        let Some(declared) = self.services.get(decl.service.get_ref()) else {
            let known = join_names(self.services.keys());
            let problem = format!("no such service is declared; declared are {known}");
            return Err(source.invalid(&decl.service, problem));
        };
        let versions = &declared.service.versions;
        if versions.contains_key(decl.version.get_ref()) {
            return Ok(());
        }
        let known = join_names(versions.keys());
        let problem = format!(
            "service {} has no such version; it has {known}",
            declared.service.name
        );
        Err(source.invalid(&decl.version, problem))
    }

    fn add_customers(
        &mut self,
        source: &Source<'_>,
        decls: IndexMap<Spanned<CustomerName>, CustomerDecl>,
    ) -> Result<(), DeclarationError> {
        for (key, decl) in decls {
            let name = key.get_ref().clone();
            source.check_unique(&key, self.customers.contains_key(&name))?;
            let customer = Customer {
                name: name.clone(),
                tokens: decl.tokens.into_iter().map(|t| t.0).collect(),
                weight: decl.weight.get(),
            };
            self.customers.insert(name, customer);
        }
        Ok(())
    }
}

fn list_files(path: &Path) -> Result<Vec<PathBuf>, DeclarationError> {
    if !path.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let mut files = Vec::new();
    for entry in std::fs::read_dir(path).map_err(|error| unreadable(path, error))? {
        let file = entry.map_err(|error| unreadable(path, error))?.path();
        if file.extension().is_some_and(|e| e == "toml") {
            files.push(file);
        }
    }
    files.sort();
    if files.is_empty() {
        return Err(DeclarationError::NoFiles(path.to_owned()));
    }
    Ok(files)
}

fn unreadable(path: &Path, error: IoError) -> DeclarationError {
    DeclarationError::Unreadable {
        path: path.to_owned(),
        error,
    }
}

fn join_names<T: Display>(names: impl Iterator<Item = T>) -> String {
    let names: Vec<String> = names.map(|name| name.to_string()).collect();
    if names.is_empty() {
        return String::from("none");
    }
    names.join(", ")
}

/// A declaration file and its text, used to find the line of an error.
struct Source<'a> {
    path: &'a Path,
    text: &'a str,
}

impl Source<'_> {
    /// Returns the line number, from one, of a byte offset.
    fn line_at(&self, offset: usize) -> usize {
        let before = self.text.get(..offset).unwrap_or(self.text);
        before.matches('\n').count() + 1
    }

    fn error_at(&self, offset: usize, key: String, problem: String) -> DeclarationError {
        DeclarationError::Invalid {
            path: self.path.to_owned(),
            line: self.line_at(offset),
            key,
            problem,
        }
    }

    /// Converts an error of the TOML parser: bad syntax, an unknown key or a malformed value.
    fn parse_error(&self, error: &toml::de::Error) -> DeclarationError {
        let offset = error.span().map_or(0, |span| span.start);
        let line = self
            .text
            .lines()
            .nth(self.line_at(offset) - 1)
            .unwrap_or_default();
        let key = line.split('=').next().unwrap_or_default().trim();
        self.error_at(offset, key.to_owned(), error.message().to_owned())
    }

    fn invalid<T: Display>(&self, at: &Spanned<T>, problem: impl Into<String>) -> DeclarationError {
        let key = at.get_ref().to_string();
        self.error_at(at.span().start, key, problem.into())
    }

    fn check_unique<T: Display>(
        &self,
        key: &Spanned<T>,
        is_declared: bool,
    ) -> Result<(), DeclarationError> {
        if is_declared {
            let problem = "declared twice; names must be unique over all files, and prefixes \
                           within a service";
            return Err(self.invalid(key, problem));
        }
        Ok(())
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileDecl {
    #[serde(default)]
    services: IndexMap<Spanned<ServiceName>, ServiceDecl>,
    #[serde(default)]
    endpoints: IndexMap<Spanned<EndpointName>, EndpointDecl>,
    #[serde(default)]
    customers: IndexMap<Spanned<CustomerName>, CustomerDecl>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ServiceDecl {
    kind: ServiceKind,
    versions: IndexMap<Spanned<VersionName>, VersionDecl>,
    #[serde(default)]
    routes: Vec<RouteDecl>,
    #[serde(default)]
    keys: KeySupport,
    #[serde(default)]
    fenced: bool,
    target: DurationText,
    #[serde(default)]
    replicas: u32,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct VersionDecl {
    #[serde(default)]
    model: String,
    share: Option<u32>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RouteDecl {
    prefix: Spanned<String>,
    /// Defaults to true for model services, as for paths without a route.
    repeatable: Option<bool>,
    #[serde(default)]
    priority: Priority,
    timeout: DurationText,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct EndpointDecl {
    service: Spanned<ServiceName>,
    version: Spanned<VersionName>,
    address: SocketAddr,
    vm: VmName,
    domain: DomainName,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct CustomerDecl {
    tokens: Vec<TokenHash>,
    #[serde(default = "default_weight")]
    weight: NonZeroU32,
}

fn default_weight() -> NonZeroU32 {
    NonZeroU32::MIN
}

/// A duration in a file, written with its unit.
#[derive(DeserializeFromStr)]
struct DurationText(Duration);

/// Error for a text that is not a duration.
#[derive(Debug, displaydoc::Display, ThisError)]
enum DurationTextError {
    /// not a duration: {0}; a number with its unit is needed, as in "900ms", "30s" or "10m"
    Malformed(humantime::DurationError),
}

impl FromStr for DurationText {
    type Err = DurationTextError;

    fn from_str(text: &str) -> Result<Self, DurationTextError> {
        humantime::parse_duration(text)
            .map(Self)
            .map_err(DurationTextError::Malformed)
    }
}

/// A token hash in a file: `sha256:` and 64 hexadecimal digits.
#[derive(DeserializeFromStr)]
struct TokenHash(String);

/// Error for a malformed token hash; it omits the text, which may be a plain token.
#[derive(Debug, displaydoc::Display, ThisError)]
enum TokenHashError {
    /// not a token hash; `hawthornctl hash-token` prints one (sha256: and 64 digits 0-9, a-f)
    Malformed,
}

impl FromStr for TokenHash {
    type Err = TokenHashError;

    fn from_str(text: &str) -> Result<Self, TokenHashError> {
        let digits = text.strip_prefix(TOKEN_HASH_PREFIX);
        match digits.filter(|digits| is_token_hash(digits)) {
            Some(digits) => Ok(Self(digits.to_owned())),
            None => Err(TokenHashError::Malformed),
        }
    }
}

impl ServiceDecl {
    /// Checks the declaration and converts it to a service.
    fn validate(
        self,
        source: &Source<'_>,
        key: &Spanned<ServiceName>,
    ) -> Result<DeclaredService, DeclarationError> {
        if self.target.0.is_zero() {
            return Err(source.invalid(key, "target must be longer than zero, as in \"900ms\""));
        }
        let shares = self.check_versions(source, key)?;
        let versions = self
            .versions
            .into_iter()
            .enumerate()
            .map(|(index, (k, v))| {
                let share = v
                    .share
                    .unwrap_or(if index == 0 { FULL_SHARE_PERMILLE } else { 0 });
                let model = v.model;
                (k.into_inner(), Version { model, share })
            });
        let versions = versions.collect();
        let mut routes: Vec<Route> = Vec::new();
        for decl in self.routes {
            let is_declared = routes.iter().any(|r| r.prefix == *decl.prefix.get_ref());
            source.check_unique(&decl.prefix, is_declared)?;
            routes.push(decl.validate(self.kind, source)?);
        }
        let service = Service {
            name: key.get_ref().clone(),
            kind: self.kind,
            versions,
            routes,
            keys: self.keys,
            fenced: self.fenced,
            target: self.target.0,
            replicas: self.replicas,
        };
        Ok(DeclaredService { service, shares })
    }

    fn check_versions(
        &self,
        source: &Source<'_>,
        key: &Spanned<ServiceName>,
    ) -> Result<SharePolicy, DeclarationError> {
        if self.versions.is_empty() {
            return Err(source.invalid(key, "at least one version is needed"));
        }
        for (name, version) in &self.versions {
            let has_model = !version.model.is_empty();
            match self.kind {
                ServiceKind::Model if !has_model => {
                    return Err(source.invalid(name, "a version of a model service needs `model`"));
                }
                ServiceKind::Plain if has_model => {
                    let problem = "a version of a plain service must have no `model`";
                    return Err(source.invalid(name, problem));
                }
                ServiceKind::Model | ServiceKind::Plain => {}
            }
        }
        let declared_shares: Vec<u32> = self.versions.values().filter_map(|v| v.share).collect();
        if declared_shares.is_empty() {
            return Ok(SharePolicy::Kept);
        }
        let total: u64 = declared_shares.iter().map(|share| u64::from(*share)).sum();
        if declared_shares.len() == self.versions.len() && total == u64::from(FULL_SHARE_PERMILLE) {
            return Ok(SharePolicy::Declared);
        }
        let problem = format!(
            "the shares of the versions add up to {total}; give every version a share, \
             {FULL_SHARE_PERMILLE} together, or none to keep the shares in force"
        );
        Err(source.invalid(key, problem))
    }
}

impl RouteDecl {
    /// Checks the declaration and converts it to a route.
    fn validate(self, kind: ServiceKind, source: &Source<'_>) -> Result<Route, DeclarationError> {
        if self.prefix.get_ref().starts_with('/') {
            return Err(source.invalid(&self.prefix, "a prefix must have no leading slash"));
        }
        if self.timeout.0.is_zero() {
            let problem = "the route's timeout must be longer than zero, as in \"30s\"";
            return Err(source.invalid(&self.prefix, problem));
        }
        Ok(Route {
            prefix: self.prefix.into_inner(),
            repeatable: self.repeatable.unwrap_or(kind == ServiceKind::Model),
            priority: self.priority,
            timeout: self.timeout.0,
        })
    }
}
