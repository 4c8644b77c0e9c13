//! Declarations of services, endpoints and customers in files kept in version control.
//!
//! A file is TOML with the tables `services`, `endpoints` and `customers`, each keyed by name;
//! a directory stands for all its `*.toml` files, which may divide the tables in any way.

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
use crate::FULL_SHARE;
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

/// A file of declarations that cannot be used.
#[derive(Debug, displaydoc::Display, ThisError)]
pub enum DeclarationError {
    /// {path}: cannot be read: {error}
    Unreadable {
        /// File or directory.
        path: PathBuf,
        /// Why.
        error: IoError,
    },
    /// {0}: holds no *.toml file
    NoFiles(PathBuf),
    /// {path}:{line}: {key}: {problem}
    Bad {
        /// File.
        path: PathBuf,
        /// Line, from one.
        line: usize,
        /// Key or value at fault.
        key: String,
        /// What is wrong and what would be right.
        problem: String,
    },
}

/// A declared service and what its file says about shares.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WantedService {
    /// Service; a new one starts with these shares.
    pub service: Service,
    /// What the file says about shares.
    pub shares: SharePolicy,
}

/// What a file of declarations says about the shares of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SharePolicy {
    /// The shares are those of the file.
    Declared,
    /// The shares in force are kept; moves change them.
    Kept,
}

/// Everything that the operators declare, by name.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Declarations {
    /// Customers.
    pub customers: IndexMap<CustomerName, Customer>,
    /// Endpoints.
    pub endpoints: IndexMap<EndpointName, Endpoint>,
    /// Services.
    pub services: IndexMap<ServiceName, WantedService>,
}

impl Declarations {
    /// Reads a file, or all `*.toml` files of a directory in the order of their names.
    ///
    /// # Errors
    ///
    /// Returns the first thing at fault with its file, line, key and what would be right.
    pub fn load(path: &Path) -> Result<Self, DeclarationError> {
        let mut sources = Vec::new();
        for path in list_files(path)? {
            let text = std::fs::read_to_string(&path).map_err(|error| unreadable(&path, error))?;
            sources.push((path, text));
        }
        Self::parse(&sources)
    }

    /// Reads the texts of files, given with their paths.
    ///
    /// # Errors
    ///
    /// Returns the first thing at fault with its file, line, key and what would be right.
    pub fn parse(sources: &[(PathBuf, String)]) -> Result<Self, DeclarationError> {
        let mut files = Vec::new();
        for (path, text) in sources {
            let source = Source { path, text };
            let file: FileDecl = toml::from_str(text).map_err(|e| source.syntax(&e))?;
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
            source.check_new(&key, self.services.contains_key(&name))?;
            let wanted = decl.read(source, &key)?;
            self.services.insert(name, wanted);
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
            source.check_new(&key, self.endpoints.contains_key(&name))?;
            self.check_target(source, &decl)?;
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

    fn check_target(
        &self,
        source: &Source<'_>,
        decl: &EndpointDecl,
    ) -> Result<(), DeclarationError> {
        let Some(wanted) = self.services.get(decl.service.get_ref()) else {
            let known = list(self.services.keys());
            let problem = format!("no such service is declared; declared are {known}");
            return Err(source.bad(&decl.service, problem));
        };
        let versions = &wanted.service.versions;
        if versions.contains_key(decl.version.get_ref()) {
            return Ok(());
        }
        let known = list(versions.keys());
        let problem = format!(
            "service {} has no such version; it has {known}",
            wanted.service.name
        );
        Err(source.bad(&decl.version, problem))
    }

    fn add_customers(
        &mut self,
        source: &Source<'_>,
        decls: IndexMap<Spanned<CustomerName>, CustomerDecl>,
    ) -> Result<(), DeclarationError> {
        for (key, decl) in decls {
            let name = key.get_ref().clone();
            source.check_new(&key, self.customers.contains_key(&name))?;
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

fn list<T: Display>(names: impl Iterator<Item = T>) -> String {
    let names: Vec<String> = names.map(|name| name.to_string()).collect();
    if names.is_empty() {
        return String::from("none");
    }
    names.join(", ")
}

/// A file with its text, for the place of a fault.
struct Source<'a> {
    path: &'a Path,
    text: &'a str,
}

impl Source<'_> {
    fn line(&self, at: usize) -> usize {
        let before = self.text.get(..at).unwrap_or(self.text);
        before.matches('\n').count() + 1
    }

    fn fault(&self, at: usize, key: String, problem: String) -> DeclarationError {
        DeclarationError::Bad {
            path: self.path.to_owned(),
            line: self.line(at),
            key,
            problem,
        }
    }

    /// Reports a text that is not TOML, an unknown key or a value of the wrong form.
    fn syntax(&self, error: &toml::de::Error) -> DeclarationError {
        let at = error.span().map_or(0, |span| span.start);
        let line = self.text.lines().nth(self.line(at) - 1).unwrap_or_default();
        let key = line.split('=').next().unwrap_or_default().trim();
        self.fault(at, key.to_owned(), error.message().to_owned())
    }

    fn bad<T: Display>(&self, at: &Spanned<T>, problem: impl Into<String>) -> DeclarationError {
        let key = at.get_ref().to_string();
        self.fault(at.span().start, key, problem.into())
    }

    fn check_new<T: Display>(&self, key: &Spanned<T>, known: bool) -> Result<(), DeclarationError> {
        if known {
            return Err(self.bad(key, "declared twice; names must be unique over all files"));
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
    target: Span,
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
    /// By default, as for a service's paths without a route: model calls are repeatable.
    repeatable: Option<bool>,
    #[serde(default)]
    priority: Priority,
    timeout: Span,
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

/// A duration as files hold it, with its unit.
#[derive(DeserializeFromStr)]
struct Span(Duration);

/// A text that is no duration.
#[derive(Debug, displaydoc::Display, ThisError)]
enum SpanError {
    /// not a duration: {0}; a number with its unit is needed, as in "900ms", "30s" or "10m"
    BadForm(humantime::DurationError),
}

impl FromStr for Span {
    type Err = SpanError;

    fn from_str(text: &str) -> Result<Self, SpanError> {
        humantime::parse_duration(text)
            .map(Self)
            .map_err(SpanError::BadForm)
    }
}

/// A token hash as files hold it: `sha256:` and 64 hexadecimal digits.
#[derive(DeserializeFromStr)]
struct TokenHash(String);

/// A token hash of the wrong form; the text is left out, as it may be a token.
#[derive(Debug, displaydoc::Display, ThisError)]
enum TokenHashError {
    /// not a token hash; `hawthornctl hash-token` prints one (sha256: and 64 digits 0-9, a-f)
    BadForm,
}

impl FromStr for TokenHash {
    type Err = TokenHashError;

    fn from_str(text: &str) -> Result<Self, TokenHashError> {
        let digits = text.strip_prefix(TOKEN_HASH_PREFIX);
        match digits.filter(|digits| is_token_hash(digits)) {
            Some(digits) => Ok(Self(digits.to_owned())),
            None => Err(TokenHashError::BadForm),
        }
    }
}

impl ServiceDecl {
    fn read(
        self,
        source: &Source<'_>,
        key: &Spanned<ServiceName>,
    ) -> Result<WantedService, DeclarationError> {
        if self.target.0.is_zero() {
            return Err(source.bad(key, "target must be longer than zero, as in \"900ms\""));
        }
        let shares = self.check_versions(source, key)?;
        let versions = self
            .versions
            .into_iter()
            .enumerate()
            .map(|(index, (k, v))| {
                let share = v.share.unwrap_or(if index == 0 { FULL_SHARE } else { 0 });
                let model = v.model;
                (k.into_inner(), Version { model, share })
            });
        let versions = versions.collect();
        let mut routes: Vec<Route> = Vec::new();
        for decl in self.routes {
            let known = routes.iter().any(|r| r.prefix == *decl.prefix.get_ref());
            source.check_new(&decl.prefix, known)?;
            routes.push(decl.read(self.kind, source)?);
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
        Ok(WantedService { service, shares })
    }

    fn check_versions(
        &self,
        source: &Source<'_>,
        key: &Spanned<ServiceName>,
    ) -> Result<SharePolicy, DeclarationError> {
        if self.versions.is_empty() {
            return Err(source.bad(key, "at least one version is needed"));
        }
        for (name, version) in &self.versions {
            let named = !version.model.is_empty();
            match self.kind {
                ServiceKind::Model if !named => {
                    return Err(source.bad(name, "a version of a model service needs `model`"));
                }
                ServiceKind::Plain if named => {
                    return Err(source.bad(name, "a version of a plain service has no `model`"));
                }
                ServiceKind::Model | ServiceKind::Plain => {}
            }
        }
        let given: Vec<u32> = self.versions.values().filter_map(|v| v.share).collect();
        if given.is_empty() {
            return Ok(SharePolicy::Kept);
        }
        let total: u64 = given.iter().map(|share| u64::from(*share)).sum();
        if given.len() == self.versions.len() && total == u64::from(FULL_SHARE) {
            return Ok(SharePolicy::Declared);
        }
        let problem = format!(
            "the shares of the versions add up to {total}; give every version a share, \
             {FULL_SHARE} together, or none to keep the shares in force"
        );
        Err(source.bad(key, problem))
    }
}

impl RouteDecl {
    fn read(self, kind: ServiceKind, source: &Source<'_>) -> Result<Route, DeclarationError> {
        if self.prefix.get_ref().starts_with('/') {
            return Err(source.bad(&self.prefix, "a prefix has no leading slash"));
        }
        if self.timeout.0.is_zero() {
            let problem = "the route's timeout must be longer than zero, as in \"30s\"";
            return Err(source.bad(&self.prefix, problem));
        }
        Ok(Route {
            prefix: self.prefix.into_inner(),
            repeatable: self.repeatable.unwrap_or(kind == ServiceKind::Model),
            priority: self.priority,
            timeout: self.timeout.0,
        })
    }
}
